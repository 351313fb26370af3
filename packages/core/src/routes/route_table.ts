import type { RandomSource } from "../random/mod.ts";
import { normalizeHost } from "./normalize_host.ts";
import type {
  DeclaredRoute,
  DeclaredService,
  DeclaredWorkspace,
  RoutingDeclaration,
} from "./types.ts";

/** One version of the declaration, indexed by host and API key. */
export class RouteTable {
  readonly declaration: RoutingDeclaration;
  readonly #routesByHost = new Map<string, DeclaredRoute[]>();
  readonly #workspacesByKey = new Map<string, DeclaredWorkspace>();
  readonly #services = new Map<string, DeclaredService>();

  private constructor(declaration: RoutingDeclaration) {
    this.declaration = declaration;
    for (const route of declaration.routes) this.#addRoute(route);
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const workspace of declaration.workspaces ?? []) {
      for (const key of workspace.apiKeys) {
        this.#workspacesByKey.set(key, workspace);
      }
    }
    for (const service of declaration.services ?? []) {
      this.#services.set(service.name, service);
    }
  }

  /** Indexes a declaration. */
  static create(declaration: RoutingDeclaration): RouteTable {
    return new RouteTable(declaration);
  }

  /**
   * Finds the route of a host with the longest matching path prefix.
   *
   * @param host value of the `Host` header; a port is ignored.
   * @param path request target; a query is ignored.
   */
  findRoute(host: string, path: string): DeclaredRoute | undefined {
    const routes = this.#routesByHost.get(normalizeHost(host));
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Finds the workspace to which an API key belongs. */
  findWorkspace(apiKey: string): DeclaredWorkspace | undefined {
    return this.#workspacesByKey.get(apiKey);
  }

  /** Finds what is declared of a service. */
  findService(name: string): DeclaredService | undefined {
    return this.#services.get(name);
  }

  #addRoute(route: DeclaredRoute): void {
    const host = normalizeHost(route.host);
    const routes = this.#routesByHost.get(host);
    if (routes === undefined) this.#routesByHost.set(host, [route]);
    else routes.push(route);
  }
}

/** Chooses a service at random by the weights of a route. */
export function chooseService(
  route: DeclaredRoute,
  random: RandomSource,
): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  if (total <= 0) return undefined;
  let point = random.getFloat() * total;
  for (const { service, weight } of route.services) {
    point -= weight;
    if (point < 0) return service;
  }
  return route.services.findLast(({ weight }) => weight > 0)?.service;
}

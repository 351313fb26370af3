import * as z from "zod";
import {
  engineRoles,
  type MemberIdentity,
  type RunnerIdentity,
} from "./record.ts";

const encodedModelSchema = z.tuple([
  z.string(),
  z.string(),
  z.array(z.string()),
  z.boolean(),
]);

const encodedRunnerSchema = z.tuple([
  z.string(),
  z.enum(["engine", "service"]),
  z.array(z.string()),
  z.string(),
  z.union([
    z.tuple([z.enum(engineRoles), z.array(encodedModelSchema)]),
    z.literal(0),
  ]),
]);

/** Schema of an identity as encoded in a digest, without field names. */
export const encodedIdentitySchema = z.tuple([
  z.enum(["router", "sidecar"]),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.string(),
  z.union([encodedRunnerSchema, z.literal(0)]),
]);

type EncodedRunner = z.output<typeof encodedRunnerSchema>;

/** An identity as encoded in a digest. */
export type EncodedIdentity = z.output<typeof encodedIdentitySchema>;

/** Checks whether two identities are equal in every field. */
export function isSameIdentity(
  left: MemberIdentity,
  right: MemberIdentity,
): boolean {
  return JSON.stringify(encodeIdentity(left)) ===
    JSON.stringify(encodeIdentity(right));
}

/** Encodes an identity for a digest. */
export function encodeIdentity(identity: MemberIdentity): EncodedIdentity {
  const { runner } = identity;
  return [
    identity.type,
    identity.name,
    identity.host,
    identity.failureDomain,
    identity.region,
    identity.controlAddress,
    runner === undefined ? 0 : encodeRunner(runner),
  ];
}

/** Decodes an identity from a digest. */
export function decodeIdentity(encoded: EncodedIdentity): MemberIdentity {
  const [type, name, host, failureDomain, region, controlAddress, runner] =
    encoded;
  const identity: MemberIdentity = {
    type,
    name,
    host,
    failureDomain,
    region,
    controlAddress,
  };
  if (runner === 0) return identity;
  return { ...identity, runner: decodeRunner(runner) };
}

function encodeRunner(runner: RunnerIdentity): EncodedRunner {
  const { dataAddress, engine, id, kind, pools } = runner;
  if (engine === undefined) return [id, kind, pools, dataAddress, 0];
  const models = engine.models.map((
    model,
  ): [string, string, string[], boolean] => [
    model.name,
    model.version,
    model.adapters,
    model.isReady,
  ]);
  return [id, kind, pools, dataAddress, [engine.role, models]];
}

function decodeRunner(encoded: EncodedRunner): RunnerIdentity {
  const [id, kind, pools, dataAddress, engine] = encoded;
  const runner = { id, kind, pools, dataAddress };
  if (engine === 0) return runner;
  const [role, models] = engine;
  return {
    ...runner,
    engine: {
      role,
      models: models.map(([name, version, adapters, isReady]) => ({
        name,
        version,
        adapters,
        isReady,
      })),
    },
  };
}

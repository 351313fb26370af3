/** Cucumber formatter that ends a test run with one line of counts. */
import { Formatter, type IFormatterOptions } from "@cucumber/cucumber";

/** Prints the numbers of scenarios as `N passed, N failed`. */
export default class SummaryFormatter extends Formatter {
  constructor(options: IFormatterOptions) {
    super(options);
    options.eventBroadcaster.on("envelope", (envelope) => {
      if (envelope.testRunFinished !== undefined) this.#printCounts();
    });
  }

  #printCounts(): void {
    const attempts = this.eventDataCollector.getTestCaseAttempts();
    const final = attempts.filter((attempt) => !attempt.willBeRetried);
    const passed =
      final.filter((attempt) => attempt.worstTestStepResult.status === "PASSED")
        .length;
    this.log(`${passed} passed, ${final.length - passed} failed\n`);
  }
}

/** Formatter that closes a test run with one line of counts. */
import { Formatter, type IFormatterOptions } from "@cucumber/cucumber";

/** Prints `N passed, N failed`, counted in scenarios. */
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

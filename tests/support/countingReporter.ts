/** Mocha reporter: the spec reporter with one plain closing line of counts. */
import Mocha from 'mocha';

/** Prints `N passed, N failed, N skipped` after the usual report. */
export default class CountingReporter extends Mocha.reporters.Spec {
  constructor(runner: Mocha.Runner, options: Mocha.MochaOptions) {
    super(runner, options);
    runner.once('end', () => this._printCounts());
  }

  private _printCounts(): void {
    const {passes, failures, pending} = this.stats;
    process.stdout.write(
      `${passes} passed, ${failures} failed, ${pending} skipped\n`,
    );
  }
}

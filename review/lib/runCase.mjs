/** Runs a script case, and ends it with the exit code that stands for it. */
import console from 'node:console';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {Fleet, Recorder, Verdict} from './fleet.mjs';
import {Consumers, Runners} from './load.mjs';

const maxRunMs = 110_000;

/**
 * @param play - plays the case and returns a text for each way in which it broke
 * the rule
 */
export async function runCase(folder, play) {
  const isTrouble = process.env.TROUBLE !== '0';
  const recorder = new Recorder(folder);
  const fleet = new Fleet(recorder);
  const runners = new Runners(fleet, recorder);
  const consumers = new Consumers(fleet, recorder);
  let verdict = Verdict.NotRun;
  const watchdog = setTimeout(() => {
    recorder.note('the case took too long');
    recorder.save();
    fleet.killAll();
    process.exit(Verdict.NotRun);
  }, maxRunMs);
  try {
    recorder.note(isTrouble ? 'with the disruption' : 'without it');
    const context = {fleet, runners, consumers, recorder, isTrouble};
    const breaches = await play(context);
    verdict = breaches.length > 0 ? Verdict.Broken : Verdict.Held;
    for (const text of breaches) recorder.note(`BROKEN: ${text}`);
    if (breaches.length === 0) recorder.note('the rule held');
    console.log(breaches.length > 0 ? breaches.join('\n') : 'the rule held');
  } catch (error) {
    recorder.note(`not run: ${error.stack}`);
    console.error(error);
  }
  clearTimeout(watchdog);
  recorder.note('the processes are ended');
  await fleet.stop();
  recorder.save();
  process.exit(verdict);
}

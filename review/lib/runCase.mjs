import { endChildren, startFleet } from './fleet.mjs';

const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/** Whether the disruption of the case takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

function giveUp(error) {
  process.stderr.write(`${error?.stack ?? error}\n`);
  endChildren();
  // eslint-disable-next-line n/no-process-exit -- nothing else may run after an unexpected error or a signal
  process.exit(COULD_NOT_RUN);
}

process.on('uncaughtException', giveUp);
['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, giveUp));

/**
 * Runs a case and sets the exit code of the process.
 *
 * @param options - Options of the fleet, and `play`, which returns the sentences that tell how the rule was broken, or undefined
 *   if the case could not run.
 */
export async function runCase({ play, ...options }) {
  let fleet;
  let result = COULD_NOT_RUN;
  try {
    fleet = await startFleet(options);
    const broken = fleet.isRunning ? await play(fleet) : undefined;
    if (broken === undefined) fleet.record('result: the case could not run');
    else {
      result = broken.length > 0 ? BROKEN : HELD;
      broken.forEach((text) => fleet.record(`broken: ${text}`));
      fleet.record(`result: ${broken.length > 0 ? 'the rule was broken' : 'the rule held'}`);
    }
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
  }
  await fleet?.close();
  process.exitCode = result;
}

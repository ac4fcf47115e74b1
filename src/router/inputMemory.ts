/** Memory of a router for input that is incomplete. */
import {InputMeter} from '../input/inputMeter.js';
import type {RouterSettings} from './routerSettings.js';

const bytesPerMb = 2 ** 20;
/** The rest is for the heap, the program and the requests in flight. */
const inputMemoryRatio = 1 / 4;

/**
 * Creates the meter of a router's input.
 *
 * @example
 * createInputMeter({memoryMb: 256}).maxHeldBytes // 64 MB
 */
export function createInputMeter({
  memoryMb,
}: Pick<RouterSettings, 'memoryMb'>): InputMeter {
  return new InputMeter(memoryMb * inputMemoryRatio * bytesPerMb);
}

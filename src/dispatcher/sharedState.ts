/** State that all queues of a dispatcher share. */
import type {SuspectRegistry} from '../node/suspectRegistry.js';
import type {CrashReporter} from './crashReporter.js';
import type {EjectionRegistry} from './ejectionRegistry.js';
import type {EngineClient} from './engineClient.js';
import type {LeaseStats} from './leaseStats.js';
import type {StreamLengths} from './streamLengths.js';

export interface SharedState {
  lengths: StreamLengths;
  ejections: EjectionRegistry;
  suspects: SuspectRegistry;
  crashes: CrashReporter;
  stats: LeaseStats;
  engines: Pick<EngineClient, 'isRefusingConnections'>;
}

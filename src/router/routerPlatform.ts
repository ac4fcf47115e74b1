/** What a router needs from the platform that runs it. */
import type {LogSinkCounts} from '../node/logSink.js';
import type {MessageCodec} from './messageCodec.js';
import type {PublishedStateReader} from './publishedState.js';

/** Platform-specific components of a router. */
export interface RouterPlatform {
  readonly codec: MessageCodec;
  readonly reader: PublishedStateReader;
  /** Counts of log lines, for metrics. */
  readonly logCounts?: Readonly<LogSinkCounts>;
}

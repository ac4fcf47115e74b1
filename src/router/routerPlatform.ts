/** What a router needs from the platform that runs it. */
import type {InputMeter} from '../input/inputMeter.js';
import type {LogSinkCounts} from '../node/logSink.js';
import type {MessageCodec} from './messageCodec.js';
import type {PublishedStateReader} from './publishedState.js';

/** Platform-specific components of a router. */
export interface RouterPlatform {
  readonly codec: MessageCodec;
  readonly reader: PublishedStateReader;
  /** Counts the input of the whole process, that of the reader too. */
  readonly meter: InputMeter;
  /** Counts of log lines, for metrics. */
  readonly logCounts?: Readonly<LogSinkCounts>;
}

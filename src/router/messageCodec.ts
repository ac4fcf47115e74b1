/** Maps HTTP headers of callers and backend servers to the router's types. */

/** A part of a prompt that an engine can keep in its KV cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the router reads from a caller's headers. */
export interface CallerRequest {
  /** Identifies one attempt of a caller; answers echo it. */
  readonly attemptId?: string;
  /** Time for which the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  /** Parts in order, shared ones first; empty for requests without a prompt. */
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Id of the last event that the caller has received. */
  readonly lastEventId?: number;
}

/** What the router sends to a backend server besides the caller's headers. */
export interface BackendRequest {
  readonly serverId: string;
  readonly deadlineMs: number;
  readonly customer?: string;
  /** Id of the caller's last event, when a stream resumes on this server. */
  readonly lastEventId?: number;
  /** Priority at an engine from 0, the most urgent, to 9. */
  readonly urgency?: number;
  /** Engine at `host:port` whose KV cache holds parts of the prompt. */
  readonly fetchFrom?: string;
}

/** Load that a backend server reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current processing time as a multiple of the usual one. */
  readonly slowness: number;
}

/** What the router reads from a backend server's headers. */
export interface BackendAnswer {
  readonly attemptId?: string;
  /** True when the answer has the header that each backend server adds. */
  readonly hasStamp: boolean;
  /** The server stated that it did not run the request and will not. */
  readonly isNotRun: boolean;
  /** A process other than the expected one answered at the address. */
  readonly isOtherProcess: boolean;
  /** The server is about to shut down and should get no more requests. */
  readonly isLeaving: boolean;
  /** The server asked this router to send no requests for this long. */
  readonly retryAfterMs?: number;
  /** Requests a second that the server takes from the whole fleet. */
  readonly limitPerSecond?: number;
  readonly load?: ReportedLoad;
}

/** What a caller states when it asks for addresses of routers. */
export interface AddressQuery {
  readonly zone?: string;
}

/** Headers as a flat list of alternating names and values. */
export type RawHeaders = readonly string[];

/**
 * Translates between the platform's wire format and the router's types. Makes
 * no decisions.
 */
export interface MessageCodec {
  /** Path at which callers ask for addresses. */
  readonly addressPath: string;
  /** Path at which the platform checks whether the router is ready. */
  readonly readyPath: string;
  decodeAddressQuery(query: URLSearchParams): AddressQuery;
  /** Builds the body of the answer to an address query. */
  encodeAddresses(addresses: readonly string[], ttlSeconds: number): string;
  decodeRequest(headers: RawHeaders): CallerRequest;
  /** Builds the headers for a backend server, without hop-by-hop headers. */
  encodeRequest(headers: RawHeaders, request: BackendRequest): string[];
  decodeAnswer(status: number, headers: RawHeaders): BackendAnswer;
  /** Builds the headers for the caller from those of a server's answer. */
  encodeAnswer(headers: RawHeaders): string[];
  /** Builds the headers of the router's own error answers. */
  encodeRefusal(attemptId: string | undefined, retryAfterMs?: number): string[];
}

/** Translation of the HTTP messages of callers and backend servers. */

/** A part of a prompt that an engine can keep in its KV cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller's headers say. */
export interface CallerRequest {
  /** Names one attempt of a caller; answers echo it. */
  readonly attemptId?: string;
  /** Time that the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  /** Parts in order, the shared ones first; empty for other requests. */
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Last event that the caller has. */
  readonly lastEventId?: number;
}

/** What the router tells a backend server beside the caller's own headers. */
export interface BackendRequest {
  readonly serverId: string;
  readonly deadlineMs: number;
  readonly customer?: string;
  /** Last event that the caller has, when a stream goes on elsewhere. */
  readonly lastEventId?: number;
  /** Rank at an engine from 0, the first, to 9. */
  readonly urgency?: number;
  /** Engine at `host:port` whose KV cache holds parts of the prompt. */
  readonly fetchFrom?: string;
}

/** Load that a backend server reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes now, as a multiple of the usual. */
  readonly slowness: number;
}

/** What a backend server's headers say. */
export interface BackendAnswer {
  readonly attemptId?: string;
  /** Marks an answer of a backend server's own. */
  readonly hasStamp: boolean;
  /** The request has not run and won't run there. */
  readonly isNotRun: boolean;
  /** The address belongs to another process than the expected one. */
  readonly isOtherProcess: boolean;
  /** The server is about to stop and wants no more requests. */
  readonly isLeaving: boolean;
  /** The server wants no requests from this router for so long. */
  readonly retryAfterMs?: number;
  readonly load?: ReportedLoad;
}

/** Where callers ask for addresses and the platform asks for readiness. */
export interface AddressQuery {
  readonly zone?: string;
}

/** Headers as alternating names and values. */
export type RawHeaders = readonly string[];

/** Knows the names on the wire; makes no decision. */
export interface MessageCodec {
  readonly addressPath: string;
  readonly readyPath: string;
  decodeAddressQuery(query: URLSearchParams): AddressQuery;
  /** Body of an address answer. */
  encodeAddresses(addresses: readonly string[], ttlSeconds: number): string;
  decodeRequest(headers: RawHeaders): CallerRequest;
  /** Headers for a backend server, without those of one connection. */
  encodeRequest(headers: RawHeaders, request: BackendRequest): string[];
  decodeAnswer(status: number, headers: RawHeaders): BackendAnswer;
  /** Headers of a backend server's answer for the caller. */
  encodeAnswer(headers: RawHeaders): string[];
  /** Headers of a refusal of the router's own. */
  encodeRefusal(attemptId: string | undefined, retryAfterMs?: number): string[];
}

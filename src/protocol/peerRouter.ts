/** tRPC routers of gateways and dispatchers, which provide the handlers. */
import {initTRPC, TRPCError} from '@trpc/server';
import {
  acquireSchema,
  drawLimitSchema,
  releaseSchema,
  renewSchema,
  type Acquire,
  type DrawLimit,
  type DrawLimitAnswer,
  type LeaseEvent,
  type Release,
  type Renew,
  type RenewAnswer,
} from './leaseMessages.js';
import {
  fetchChangesSchema,
  pingForSchema,
  pingSchema,
  pushSchema,
  type Member,
  type Ping,
  type PingAnswer,
  type Push,
} from './memberMessages.js';
import {
  executeOperationSchema,
  takeOverSchema,
  type ExecuteOperation,
  type OperationResult,
  type TakeOver,
} from './operationMessages.js';
import type {ConfigChange, ConfigDocument} from './platformApi.js';

/** Per-connection context of a peer. */
export interface PeerContext {
  /** True if the peer presented the peer key. */
  authenticated: boolean;
}

const t = initTRPC.context<PeerContext>().create();

const peerProcedure = t.procedure.use(({ctx, next}) => {
  if (!ctx.authenticated) throw new TRPCError({code: 'UNAUTHORIZED'});
  return next();
});

/** Handlers of the calls that every member answers. */
export interface MemberHandlers {
  handlePing(ping: Ping): Promise<PingAnswer>;
  handlePush(push: Push): Promise<void>;
  /** Resolves to the answer of the pinged member; rejects if there is none. */
  handlePingFor(peerAddress: string): Promise<PingAnswer>;
  listMembers(): Promise<Member[]>;
  /** Returns the changes after a number; none if they are not all held. */
  fetchChanges(after: number): Promise<ConfigChange[]>;
  fetchDocument(): Promise<ConfigDocument>;
}

/** Handlers of the calls that only dispatchers answer. */
export interface DispatcherHandlers {
  acquire(request: Acquire, signal: AbortSignal): AsyncIterable<LeaseEvent>;
  release(release: Release): Promise<void>;
  renew(renew: Renew): Promise<RenewAnswer>;
  drawLimit(draw: DrawLimit): Promise<DrawLimitAnswer>;
}

/** Handlers of the calls that only gateways answer. */
export interface GatewayHandlers {
  executeOperation(request: ExecuteOperation): Promise<OperationResult>;
  takeOver(takeOver: TakeOver): Promise<void>;
}

function createMemberRouter(handlers: MemberHandlers) {
  return t.router({
    ping: peerProcedure
      .input(pingSchema)
      .mutation(({input}) => handlers.handlePing(input)),
    push: peerProcedure
      .input(pushSchema)
      .mutation(({input}) => handlers.handlePush(input)),
    pingFor: peerProcedure
      .input(pingForSchema)
      .mutation(({input}) => handlers.handlePingFor(input.peerAddress)),
    listMembers: peerProcedure.query(() => handlers.listMembers()),
    fetchChanges: peerProcedure
      .input(fetchChangesSchema)
      .query(({input}) => handlers.fetchChanges(input.after)),
    fetchDocument: peerProcedure.query(() => handlers.fetchDocument()),
  });
}

/** Creates the router of a dispatcher. */
export function createDispatcherRouter(
  member: MemberHandlers,
  handlers: DispatcherHandlers,
) {
  return t.router({
    members: createMemberRouter(member),
    leases: t.router({
      acquire: peerProcedure
        .input(acquireSchema)
        .subscription(({input, signal}) =>
          handlers.acquire(input, signal ?? new AbortController().signal),
        ),
      release: peerProcedure
        .input(releaseSchema)
        .mutation(({input}) => handlers.release(input)),
      renew: peerProcedure
        .input(renewSchema)
        .mutation(({input}) => handlers.renew(input)),
    }),
    limits: t.router({
      draw: peerProcedure
        .input(drawLimitSchema)
        .mutation(({input}) => handlers.drawLimit(input)),
    }),
  });
}

/** Creates the router of a gateway. */
export function createGatewayRouter(
  member: MemberHandlers,
  handlers: GatewayHandlers,
) {
  return t.router({
    members: createMemberRouter(member),
    operations: t.router({
      execute: peerProcedure
        .input(executeOperationSchema)
        .mutation(({input}) => handlers.executeOperation(input)),
      takeOver: peerProcedure
        .input(takeOverSchema)
        .mutation(({input}) => handlers.takeOver(input)),
    }),
  });
}

export type DispatcherRouter = ReturnType<typeof createDispatcherRouter>;
export type GatewayRouter = ReturnType<typeof createGatewayRouter>;

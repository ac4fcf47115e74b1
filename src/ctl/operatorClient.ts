/** Client of the daemons' operator API and of the platform's read API. */
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import type {z} from 'zod';
import {AnvilstallError} from '../protocol/errors.js';
import {MemberRole} from '../protocol/memberMessages.js';
import {
  configDocumentSchema,
  vmListSchema,
  type VmList,
} from '../protocol/platformApi.js';
import type {CtlSettings} from './ctlSettings.js';

const callTimeoutMs = 5_000;

/** A call to a daemon or to the platform failed. */
export class CallError extends AnvilstallError {}

/** Address of the daemon with a given role on a VM. */
export interface DaemonAddress {
  vm: string;
  role: MemberRole;
  url: string;
}

/** Calls daemons with the operator key; every call has a timeout. */
export class OperatorClient {
  constructor(private readonly settings: CtlSettings) {}

  /** Lists the daemons of all entry VMs on the platform's VM list. */
  async listDaemons(): Promise<Result<DaemonAddress[], CallError>> {
    const list = await this.read(`${this.settings.vmListUrl}/v1/vms`);
    return list
      .andThen(body => parseBody(vmListSchema, body))
      .map(vms => this.buildAddresses(vms));
  }

  /** Finds one daemon, e.g. `vm-3` and `gateway`. */
  async findDaemon(
    vm: string,
    role: MemberRole,
  ): Promise<Result<DaemonAddress, CallError>> {
    const daemons = await this.listDaemons();
    return daemons.andThen(list => {
      const daemon = list.find(
        candidate => candidate.vm === vm && candidate.role === role,
      );
      return daemon
        ? ok(daemon)
        : err(new CallError(`VM "${vm}" is not on the platform's list`));
    });
  }

  /** Reads the latest configuration document with its number. */
  async readDocument() {
    const url = `${this.settings.configUrl}/v1/config/document`;
    const body = await this.read(url);
    return body.andThen(document => parseBody(configDocumentSchema, document));
  }

  readDump(daemon: DaemonAddress): Promise<Result<unknown, CallError>> {
    return this.send(daemon, 'GET', '/dump');
  }

  /** Starts a daemon's graceful shutdown. */
  drain(daemon: DaemonAddress): Promise<Result<unknown, CallError>> {
    return this.send(daemon, 'POST', '/drain');
  }

  setLogLevel(
    daemon: DaemonAddress,
    level: string,
  ): Promise<Result<unknown, CallError>> {
    return this.send(daemon, 'PUT', '/log-level', {level});
  }

  private buildAddresses(list: VmList): DaemonAddress[] {
    const {ports} = this.settings;
    return list.entryVms.flatMap(({vm, address}) => [
      {
        vm,
        role: MemberRole.Gateway,
        url: `http://${address}:${ports.gateway}`,
      },
      {
        vm,
        role: MemberRole.Dispatcher,
        url: `http://${address}:${ports.dispatcher}`,
      },
    ]);
  }

  private send(
    daemon: DaemonAddress,
    method: Dispatcher.HttpMethod,
    path: string,
    body?: object,
  ): Promise<Result<unknown, CallError>> {
    return this.call(`${daemon.url}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.settings.operatorKey}`,
        'content-type': 'application/json',
      },
      body: body ? JSON.stringify(body) : null,
    });
  }

  private read(url: string): Promise<Result<unknown, CallError>> {
    return this.call(url, {method: 'GET'});
  }

  private async call(
    url: string,
    options: Pick<Dispatcher.RequestOptions, 'method' | 'headers' | 'body'>,
  ): Promise<Result<unknown, CallError>> {
    const attempt = async (): Promise<unknown> => {
      const signal = AbortSignal.timeout(callTimeoutMs);
      const response = await request(url, {...options, signal});
      const body: unknown = await response.body.json();
      if (response.statusCode < 300) return body;
      throw new CallError(
        `${url}: status ${response.statusCode}: ${JSON.stringify(body)}`,
      );
    };
    return ResultAsync.fromPromise(attempt(), cause =>
      cause instanceof CallError
        ? cause
        : new CallError(`${url}: ${String(cause)}`, {cause}),
    );
  }
}

function parseBody<S extends z.ZodType>(
  schema: S,
  body: unknown,
): Result<z.output<S>, CallError> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  return err(new CallError(`unexpected answer: ${parsed.error.message}`));
}

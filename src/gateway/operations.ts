/** Wires up the services that run operations on one gateway. */
import type {DaemonNode} from '../node/daemonNode.js';
import {BroadcastKind} from '../protocol/memberMessages.js';
import type {ExpiryClock} from './expiryClock.js';
import type {GatewayPeers} from './gatewayPeers.js';
import {IssuerDirectory} from './issuerDirectory.js';
import {OperationExecutor, type OperationSender} from './operationExecutor.js';
import {OperationHandover} from './operationHandover.js';
import type {PrefixSigner} from './operationPrefix.js';
import {OperationRecords} from './operationRecords.js';
import {OperationService} from './operationService.js';
import {OperationTakeover} from './operationTakeover.js';

/** Parts of a daemon node that operations need. */
export type OperationNode = Pick<
  DaemonNode,
  'membership' | 'broadcaster' | 'log'
> & {
  config: Pick<DaemonNode['config'], 'getConfiguration'>;
  members: Pick<DaemonNode['members'], 'publish'>;
};

export interface OperationOptions {
  node: OperationNode;
  signer: PrefixSigner;
  clock: ExpiryClock;
  sender: OperationSender;
  peers: GatewayPeers;
}

/** Operation services of one gateway. */
export class Operations {
  readonly records: OperationRecords;
  readonly directory: IssuerDirectory;
  readonly service: OperationService;
  readonly handover: OperationHandover;

  constructor(options: OperationOptions) {
    const {node, signer, clock, sender, peers} = options;
    const self = node.membership.getSelf().incarnation;
    const {log} = node;
    const records = new OperationRecords(clock);
    const directory = new IssuerDirectory(node.membership);
    const announce = (issuer: string, successor: string) =>
      node.members.publish(`prefixAuthority/${issuer}`, {
        kind: BroadcastKind.PrefixAuthority,
        issuer,
        successor,
      });
    node.broadcaster.subscribe(item => {
      if (item.kind !== BroadcastKind.PrefixAuthority) return;
      directory.noteSuccessor(item.issuer, item.successor);
    });
    this.records = records;
    this.directory = directory;
    this.handover = new OperationHandover({
      records,
      directory,
      peers,
      announce,
      log,
    });
    this.service = new OperationService({
      signer,
      clock,
      records,
      executor: new OperationExecutor(records, sender),
      directory,
      takeover: new OperationTakeover(self, records, directory, issuer =>
        announce(issuer, self),
      ),
      peers,
      getConfiguration: () => node.config.getConfiguration(),
      log,
    });
  }

  /** State for the dump. */
  describe(): object {
    return {
      records: this.records.describe(),
      authority: this.directory.describe(),
    };
  }

  /** State of one record for the dump, without key, body and answer. */
  describeRecord(operationKey: string): object {
    return this.records.find(operationKey)?.describe() ?? {known: false};
  }
}

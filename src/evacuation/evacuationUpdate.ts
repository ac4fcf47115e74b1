/** What the platform publishes about evacuations of availability zones. */
import type {PublishedPosition} from '../protocol/publishedPosition.js';

export enum ItemKind {
  /** The operator asks to evacuate the zone. */
  Written = 'written',
  /** The operator has returned the zone to service. */
  Deleted = 'deleted',
  /** It can't be told what the item asks for. */
  Unreadable = 'unreadable',
}

/** One published item. */
export type EvacuationItem =
  | {readonly kind: ItemKind.Written; readonly zone: string}
  | {readonly kind: ItemKind.Deleted; readonly zone: string}
  | {
      readonly kind: ItemKind.Unreadable;
      /** Name of the item at the platform, for the log. */
      readonly name: string;
      /** Undefined if the name doesn't contain a zone. */
      readonly zone?: string;
    };

export enum UpdateKind {
  /** All items that exist at the position. */
  Complete = 'complete',
  /** Changes up to the position, in their order. */
  Changes = 'changes',
}

/** Items of one answer of the platform. */
export interface EvacuationUpdate {
  readonly kind: UpdateKind;
  readonly items: readonly EvacuationItem[];
}

/** An answer of the platform with its position. */
export interface PositionedUpdate extends PublishedPosition {
  readonly evacuations: EvacuationUpdate;
}

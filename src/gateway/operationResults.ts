/** Encodes and decodes operation answers and refusals for peer links. */
import {err, ok} from 'neverthrow';
import {
  OperationResultKind,
  type OperationResult,
} from '../protocol/operationMessages.js';
import {Refusal} from '../protocol/refusal.js';
import type {OperationAnswer} from './operationRecord.js';

export function encodeAnswer(answer: OperationAnswer): OperationResult {
  if (answer.isOk()) {
    return {kind: OperationResultKind.Answered, answer: answer.value};
  }
  const {reason, outcome, message, retryAfterMs} = answer.error;
  return {
    kind: OperationResultKind.Refused,
    reason,
    outcome,
    message,
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  };
}

export function decodeAnswer(result: OperationResult): OperationAnswer {
  switch (result.kind) {
    case OperationResultKind.Answered:
      return ok(result.answer);
    case OperationResultKind.Refused: {
      const {reason, outcome, message, retryAfterMs} = result;
      return err(new Refusal(reason, outcome, message, {retryAfterMs}));
    }
  }
}

/**
What the outcome of a statement shows about its server.
*/
import * as Either from 'fp-ts/lib/Either.js';
import type * as errors from '../../core/errors.js';
import type * as statement from '../statement.js';
import type * as tracks from './track.js';

/** A statement that was sent: `read` for a read outside transactions. */
export type Sent = {readonly kind: 'read' | 'write'; readonly elapsedMs: number; readonly timeoutMs: number};

/** Shortest timeout after which a missing reply counts against the server. */
const minTimeoutMs = 200;

/**
Judges a server by the outcome of a statement. Only a read outside transactions that failed counts against the server: it
can be compared with those at the other servers.

@example
```
balancer.ended(server, outcomes.classify(outcome, {kind: 'read', elapsedMs, timeoutMs}));
```
*/
export function classify(outcome: errors.Outcome<statement.Reply>, {kind, elapsedMs, timeoutMs}: Sent): tracks.Outcome {
	if (Either.isLeft(outcome)) {
		const isTooShort = timeoutMs < minTimeoutMs && elapsedMs >= timeoutMs - 1;
		return {kind: outcome.left.kind === 'not-run' || isTooShort || kind === 'write' ? 'none' : 'silent'};
	}

	const {refusal} = outcome.right;
	if (refusal === null) {
		return kind === 'read' ? {kind, latencyMs: elapsedMs} : {kind};
	}

	if (refusal === 'failed' || refusal === 'timeout') {
		return {kind: kind === 'read' ? 'failed' : 'write'};
	}

	return {kind: refusal === 'busy' ? 'busy' : 'none'};
}

import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../../../core/errors.js';
import * as statement from '../../statement.js';
import * as outcomes from '../outcome.js';

const read = {kind: 'read', elapsedMs: 20, timeoutMs: 500} as const;
const write = {...read, kind: 'write'} as const;

test.test('guards against refusals that count as fast replies, and against writes that count as slow reads', () => {
	assert.deepEqual(outcomes.classify(Either.right(statement.success('none')), read), {kind: 'read', latencyMs: 20});
	assert.deepEqual(outcomes.classify(Either.right(statement.success('open')), write), {kind: 'write'});
	assert.deepEqual(outcomes.classify(Either.right(statement.refuse('busy', '', 'none')), write), {kind: 'busy'});
	assert.deepEqual(outcomes.classify(Either.right(statement.refuse('failed', '', 'none')), read), {kind: 'failed'});
});

test.test('guards against the ejection of a server that did nothing wrong', () => {
	for (const refusal of ['lagging', 'read-only', 'not-prepared'] as const) {
		assert.deepEqual(outcomes.classify(Either.right(statement.refuse(refusal, '', 'none')), read), {kind: 'none'});
	}

	// A constraint violation in a transaction, and the little time that was left for an attempt.
	assert.deepEqual(outcomes.classify(Either.right(statement.refuse('failed', '', 'failed')), write), {kind: 'write'});
	const lost = errors.fail('outcome-unknown', 'receive', 'a', 'no answer');
	assert.deepEqual(outcomes.classify(lost, {kind: 'read', elapsedMs: 40, timeoutMs: 40}), {kind: 'none'});
	assert.deepEqual(outcomes.classify(lost, {kind: 'read', elapsedMs: 500, timeoutMs: 500}), {kind: 'silent'});
	assert.deepEqual(outcomes.classify(lost, {kind: 'read', elapsedMs: 40, timeoutMs: 500}), {kind: 'silent'});
	assert.deepEqual(outcomes.classify(errors.fail('not-run', 'send', 'a', 'closed'), read), {kind: 'none'});
});

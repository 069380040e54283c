import * as assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../../core/clock.js';
import * as errors from '../../core/errors.js';
import type * as types from '../../generated/types.js';
import * as attempt from '../attempt.js';
import type * as hosts from '../hosts.js';
import type * as statement from '../statement.js';

/** A line above this length is cut by common log collectors and hard to read. */
const maxLineBytes = 2048;

function status(role: statement.ServerStatus['role'], term: number, index: number, heldTerm = 0): errors.Outcome<statement.ServerStatus> {
	return Either.right({
		role, term, heldTerm, position: {term, index}, lagMs: 0,
	});
}

function report(acknowledged: types.Position | null, passedOn: statement.ServerStatus | null = null): types.LeaderReport {
	return {
		kind: 'leader-report', id: 1, view: 'silent', leader: 'a', status: passedOn, acknowledged, acknowledgedAgoMs: null, withheld: 0,
	};
}

function question(order: types.LeaderInquiry['order']): hosts.Question {
	return {
		service: 'ledgers', order, server: 'a', term: 2, token: 21,
	};
}

function start(time: clock.Clock): attempt.Trace {
	const trace = new attempt.Trace({service: 'ledgers', clock: time});
	trace.begin('silent', {id: 'a', position: {term: 1, index: 160}});
	return trace;
}

// Guards against a record of a promotion from which its choice can't be told.
test.test('one line holds the answers, the fence, the choice and the order of a promotion', async () => {
	const time = new clock.Manual();
	const trace = start(time);
	await time.advance(100);
	trace.answered({
		server: 'b', order: 'status', outcome: status('replica', 1, 130), isSynchronized: true,
	});
	trace.answered({
		server: 'c', order: 'status', outcome: status('replica', 1, 163), isSynchronized: false,
	});
	trace.answered({
		server: 'd', order: 'status', outcome: errors.fail('not-run', 'receive', 'd', 'BUSY'), isSynchronized: true,
	});
	trace.reached('found');
	await time.advance(20);
	trace.claimed(21, 'stored');
	trace.dated(2);
	trace.asked(question('suspend'), {reports: [report({term: 1, index: 120}), report(null), report({term: 1, index: 128})], isComplete: false, asked: 6});
	await time.advance(30);
	trace.answered({
		server: 'b', order: 'pause', outcome: status('replica', 1, 131, 2), isSynchronized: true,
	});
	trace.fenced('hosts and pauses');
	await time.advance(10);
	trace.requires({term: 1, index: 131});
	trace.chose('c', {term: 1, index: 163});
	trace.ordered('accepted');
	await time.advance(400);
	assert.deepEqual(trace.end('promoted', '', {id: 'c', position: {term: 2, index: 1}}), {
		service: 'ledgers',
		reason: 'silent',
		leader: 'a',
		leaderTerm: 1,
		candidates: 'b replica 1 1:131 held 2 10ms, c replica 1 1:163 60ms incomplete',
		unanswered: 'd not-run: BUSY 60ms',
		hosts: 'suspend 3/6',
		confirmed: '1:128',
		token: 21,
		claim: 'stored',
		term: 2,
		stepDown: '',
		fence: 'hosts and pauses',
		paused: 'b',
		target: 'c',
		targetPosition: '1:163',
		required: '1:131',
		later: '',
		orders: 'accepted 160ms',
		result: 'promoted',
		failure: '',
		leads: 'c',
		leadsTerm: 2,
		steps: 'found 100, claimed 120, suspended 120, paused 150, chosen 160, ordered 160, accepted 160',
		durationMs: 560,
	});
});

// Guards against a line that shows a server as it answered after the choice: the choice would look right though it was wrong.
test.test('an answer after the choice does not replace the one that the choice knew', async () => {
	const time = new clock.Manual();
	const trace = start(time);
	trace.answered({
		server: 'b', order: 'status', outcome: status('replica', 1, 130), isSynchronized: true,
	});
	trace.chose('b', {term: 1, index: 130});
	await time.advance(200);
	trace.answered({
		server: 'b', order: 'status', outcome: status('replica', 1, 10), isSynchronized: true,
	});
	trace.answered({
		server: 'a', order: 'status', outcome: status('primary', 1, 140), isSynchronized: true,
	});
	await time.advance(50);
	const fields = trace.end('given up', '', undefined);
	assert.equal(fields.candidates, 'b replica 1 1:130 0ms');
	assert.equal(fields.later, 'b replica 1 1:10 50ms, a primary 1 1:140 50ms');
});

// Guards against a step-down whose answer shows only at the host that passed it on, or is hidden by those that the fence repeats.
test.test('the answers to a step-down before the choice are listed with their path', () => {
	const trace = start(new clock.Manual());
	trace.answered({
		server: 'a', order: 'step-down', outcome: errors.fail('outcome-unknown', 'receive', 'a', 'no response'), isSynchronized: true,
	});
	const passedOn = {
		role: 'replica', term: 1, heldTerm: 0, position: {term: 1, index: 140}, lagMs: 0,
	} as const;
	trace.asked(question('step-down'), {reports: [report(null), report(null, passedOn)], isComplete: true, asked: 2});
	trace.chose('a', {term: 1, index: 140});
	for (let repeats = 0; repeats < 20; repeats++) {
		trace.answered({
			server: 'a', order: 'step-down', outcome: status('primary', 1, 150), isSynchronized: true,
		});
	}

	assert.equal(trace.end('given up', '', undefined).stepDown, 'a direct outcome-unknown: no response, a delegated replica 1 1:140');
});

// Guards against a line that shows what an earlier attempt found, or what came in between two attempts.
test.test('an attempt shows nothing of the one before', () => {
	const trace = start(new clock.Manual());
	const answer: attempt.Answer = {
		server: 'b', order: 'step-down', outcome: status('replica', 1, 130), isSynchronized: true,
	};
	trace.answered(answer);
	trace.claimed(21, 'stored');
	trace.dated(2);
	trace.requires({term: 1, index: 131});
	trace.chose('b', {term: 1, index: 130});
	trace.ordered('refused');
	trace.end('given up', 'refused', undefined);
	trace.answered(answer);
	trace.asked(question('suspend'), {reports: [report({term: 1, index: 120})], isComplete: true, asked: 1});
	trace.begin('leaderless', undefined);
	const fields = trace.end('given up', '', undefined);
	assert.deepEqual(Object.entries(fields).filter(([, value]) => value !== '' && value !== 0), [['service', 'ledgers'], ['reason', 'leaderless'], ['result', 'given up']]);
});

// Guards against lines that a collector cuts: orders are repeated for seconds, and messages of servers have any length.
test.test('the line stays below 2 KB whatever the servers answer and however often orders are repeated', () => {
	const trace = start(new clock.Manual());
	const long = 'x'.repeat(5000);
	const servers = Array.from({length: 40}, (_, index) => `i-d9e32cda4e${index}`);
	for (const server of servers) {
		trace.answered({
			server, order: 'pause', outcome: status('replica', 123_456_789, 123_456_789_012, 123_456_790), isSynchronized: false,
		});
		trace.answered({
			server: `${server}-silent`, order: 'step-down', outcome: errors.fail('outcome-unknown', 'receive', server, long), isSynchronized: true,
		});
		trace.ordered(long);
	}

	trace.requires({term: 123_456_789, index: 123_456_789_012});
	trace.chose(servers[0], {term: 123_456_789, index: 123_456_789_012});
	for (const server of servers) {
		trace.answered({
			server, order: 'status', outcome: errors.fail('not-run', 'receive', server, long), isSynchronized: true,
		});
	}

	trace.claimed(2 ** 50, long);
	trace.fenced(long);
	for (const order of ['report', 'suspend', 'step-down'] as const) {
		trace.asked(question(order), {reports: [], isComplete: false, asked: 1000});
	}

	for (const step of ['found', 'claimed', 'suspended', 'stepped-down', 'paused', 'chosen', 'ordered', 'accepted'] as const) {
		trace.reached(step);
	}

	const fields = trace.end('given up', long, {id: servers[0], position: {term: 123_456_789, index: 1}});
	assert.ok(Buffer.byteLength(JSON.stringify(fields)) < maxLineBytes, `${Buffer.byteLength(JSON.stringify(fields))} bytes`);
	assert.match(String(fields.candidates), /i-d9e32cda4e39/v, 'the last answers are kept');
});

import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as states from '../../entry/state.js';
import * as decisions from '../../entry/decisions.js';
import * as clock from '../../core/clock.js';
import * as intakes from '../intake.js';
import * as keeping from '../keeping.js';
import * as sizes from '../sizes.js';
import * as slots from '../slots.js';
import * as watch from '../watch.js';
import * as connection from './fake-inbound.js';

const bytesPerMb = 1_048_576;

// Guards against descriptors that silent connections take from sessions, and against the loss of a busy session.
test.test('silent connections make room first, then the session idle for longest, never a busy one', () => {
	const limited = new slots.Slots(3);
	const [idle, longIdle, busy, silent, next, last] = Array.from({length: 6}, () => new connection.Connection());
	idle.idleSince = 7;
	longIdle.idleSince = 3;
	busy.idleSince = undefined;
	for (const session of [idle, longIdle]) {
		assert.ok(limited.enter(session));
		limited.open(session);
	}

	assert.ok(limited.enter(silent));
	assert.ok(limited.enter(busy));
	limited.open(busy);
	assert.deepEqual([idle, longIdle, busy, silent].map(({causes}) => causes.length), [0, 0, 0, 1]);
	assert.ok(limited.enter(next));
	limited.open(next);
	assert.deepEqual([idle, longIdle, busy].map(({causes}) => causes.length), [0, 1, 0]);
	idle.idleSince = undefined;
	next.idleSince = undefined;
	assert.equal(limited.enter(last), false);
	assert.equal(limited.size, 3);
});

function countSweeps(activity: (sweep: number) => watch.Activity, limit: number): number | undefined {
	const watched = new watch.Watch();
	for (let sweep = 0; sweep < limit; sweep++) {
		if (watched.sweep(activity(sweep)) !== undefined) {
			return sweep;
		}
	}

	return undefined;
}

// Guards against bounds that a slow but legitimate caller meets, or that a silent one never meets.
test.test('openings, messages and readers have bounds, and idle sessions have none', () => {
	assert.equal(countSweeps(() => ({kind: 'opening', mark: 0}), 100), 10);
	assert.equal(countSweeps(() => ({kind: 'receiving', mark: 4}), 100), 60);
	assert.equal(countSweeps(() => ({kind: 'sending', mark: 4}), 100), 30);
	assert.equal(countSweeps(() => ({kind: 'idle', mark: 0}), 100_000), undefined);
	assert.equal(countSweeps(sweep => ({kind: 'receiving', mark: Math.floor(sweep / 30)}), 10_000), undefined);
	assert.equal(countSweeps(sweep => ({kind: 'sending', mark: Math.floor(sweep / 20)}), 10_000), undefined);
});

// Guards against limits that the documented sizes of a host meet: 2,800 sessions and links from many hosts.
test.test('the sizes of a host leave room for its sessions and keep a share of the descriptors', () => {
	const host = sizes.derive({memoryBytes: 250 * bytesPerMb, heapBytes: 208 * bytesPerMb, descriptors: 4300});
	assert.ok(host.callers >= 2800);
	assert.ok(host.links >= 609, 'fewer links than the largest fleet has other hosts');
	assert.ok(host.callers + host.links + host.openingLinks + (2 * host.probes) <= 4300 - 200 - 400);
	assert.ok(host.budgetBytes > 50 * bytesPerMb && host.budgetBytes < 60 * bytesPerMb);
	const small = sizes.derive({memoryBytes: 10 * bytesPerMb, heapBytes: 10 * bytesPerMb, descriptors: 100});
	assert.ok(small.callers > 0 && small.links > 0 && small.budgetBytes >= 8 * bytesPerMb);
});

// Guards against state without end, and against a size that counts what was replaced, refused or removed.
test.test('a session keeps values and prepared statements up to its bounds', () => {
	const state = new states.State();
	const text = 'x'.repeat(1_048_500);
	assert.ok(state.setValue('a', text, keeping.isWithin));
	assert.ok(state.setValue('a', text, keeping.isWithin));
	assert.ok(!state.setValue('b', text, keeping.isWithin));
	assert.ok(!state.prepare('p', {mode: 'read', shape: text}, keeping.isWithin));
	assert.deepEqual([...state.values.keys(), ...state.prepared.keys()], ['a']);
	assert.ok(state.setValue('a', 'short', keeping.isWithin));
	assert.ok(state.prepare('p', {mode: 'read', shape: text}, keeping.isWithin));
	state.deallocate('p');
	state.deallocate('p');
	assert.deepEqual(state.size, {bytes: keeping.measure('a', 'short'), entries: 1});
	for (let index = 1; index < keeping.maxEntries; index++) {
		assert.ok(state.setValue(`k${index}`, 'v', keeping.isWithin));
	}

	assert.ok(!state.setValue('one-more', 'v', keeping.isWithin));
});

/** Counts decisions by name. */
class Counter extends decisions.Silent {
	readonly names: string[] = [];

	override request(name?: string): void {
		this.names.push(name ?? '');
	}
}

// Guards against a stop of the process after which every connection has exceeded its time.
test.test('the bounds on time count sweeps, so a suspended process closes nothing', async () => {
	const time = new clock.Manual();
	const log = new Counter();
	const intake = new intakes.Intake({clock: time, decisions: log, sizes: sizes.derive({memoryBytes: 250 * bytesPerMb, heapBytes: 208 * bytesPerMb, descriptors: 4300})});
	const silent = new connection.Connection();
	silent.activity = {kind: 'opening', mark: 0};
	silent.account = intake.enter(silent);
	intake.takeSlot(silent);
	intake.sweep();
	intake.sweep();
	assert.deepEqual(silent.causes, []);
	const stopped = new AbortController();
	const running = intake.run(stopped.signal);
	await time.advance(9000);
	assert.deepEqual(silent.causes, ['opening']);
	intake.record('opening', silent, '', 0);
	assert.deepEqual(log.names, ['intake-opening']);
	stopped.abort();
	await running;
});

// Guards against half messages that keep the budget tight, so that nobody's large requests are served any more.
test.test('a budget that stays tight is relieved after two sweeps', () => {
	const time = new clock.Manual();
	const intake = new intakes.Intake({clock: time, decisions: new decisions.Silent(), sizes: sizes.derive({memoryBytes: bytesPerMb, heapBytes: bytesPerMb, descriptors: 4300})});
	const holders = Array.from({length: 7}, () => new connection.Connection());
	for (const holder of holders) {
		holder.account = intake.enter(holder);
		holder.account.set('input', bytesPerMb);
	}

	assert.ok(holders[0].account?.isPaused);
	intake.sweep();
	intake.sweep();
	assert.equal(holders.filter(({causes}) => causes.length > 0).length, 0);
	intake.sweep();
	assert.equal(holders.filter(({causes}) => causes.length > 0).length, 3);
	assert.equal(intake.budget.isTight, false);
});

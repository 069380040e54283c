import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as clock from '../clock.js';
import * as ownership from '../ownership.js';
import * as quota from '../quota.js';

const seed = 20_261_204;
const settleMs = 3000;
const stepMs = 100;
const runMs = 15_000;
const connectionLimit = 16;
const names = Array.from({length: 9}, (_, index) => `entry-${index}`);

/** A host that joins or leaves at a time. `lagsMs` is the delay until each host observes it, in the order of `names`. */
type Event = {readonly at: number; readonly host: number; readonly lagsMs: readonly number[]};

const event = fc.record({
	at: fc.integer({min: 0, max: runMs - settleMs}),
	host: fc.nat(names.length - 1),
	lagsMs: fc.array(fc.integer({min: 0, max: settleMs - (2 * stepMs)}), {minLength: names.length, maxLength: names.length}),
});

function member(name: string): ownership.Member {
	return {
		name, place: `place-${names.indexOf(name) % 3}`, address: '', isLeaving: false,
	};
}

/** The hosts that `observer` considers present at a time, given its lags. Each host observes the events in order. */
function view(events: readonly Event[], observer: number, now: number): ownership.Member[] {
	const present = new Set(names.slice(0, 5));
	let observedAt = 0;
	for (const {at, host, lagsMs} of events) {
		observedAt = Math.max(observedAt, at + lagsMs[observer]);
		if (observedAt <= now && !present.delete(names[host])) {
			present.add(names[host]);
		}
	}

	return [...present].map(name => member(name));
}

/** The maximum number of hosts that are owners at the same time. */
async function maxOwners(events: readonly Event[]): Promise<number> {
	const time = new clock.Manual();
	const quotas = names.map(name => new quota.Quota(time, name, settleMs));
	const notices: Array<{readonly at: number; readonly from: string; readonly to: number}> = [];
	let max = 0;
	for (let now = 0; now < runMs; now += stepMs) {
		for (const [index, hostQuota] of quotas.entries()) {
			const owners = ownership.owners('ledgers', view(events, index, now)).map(({name}) => name);
			const before = hostQuota.ownership;
			hostQuota.update(owners, false);
			if (before === 'owner' && !owners.includes(names[index])) {
				notices.push(...owners.map(owner => ({at: now + stepMs, from: names[index], to: names.indexOf(owner)})));
			}
		}

		for (const notice of notices.filter(({at}) => at === now)) {
			quotas[notice.to].markReleased(notice.from);
		}

		max = Math.max(max, quotas.filter(({ownership: current}) => current === 'owner').length);
		await time.advance(stepMs);
	}

	return max;
}

test.test('the quotas of all hosts stay within the limit while views lag by less than the settle time (guards against refused connections when hosts join or leave)', async () => {
	await fc.assert(fc.asyncProperty(fc.array(event, {maxLength: 8}), async events => {
		const ordered = events.toSorted((left, right) => left.at - right.at);
		const owners = await maxOwners(ordered);
		assert.ok(owners * quota.perOwner(connectionLimit) <= connectionLimit, `${owners} hosts hold ${quota.perOwner(connectionLimit)} of ${connectionLimit} connections`);
	}), {seed, numRuns: 300});
});

test.test('a new owner starts once the former owners have released, or after the settle time (guards against a gap in service, and against opening connections too early)', async () => {
	const time = new clock.Manual();
	const hostQuota = new quota.Quota(time, 'd', settleMs);
	hostQuota.update(['a', 'b', 'c'], false);
	hostQuota.update(['d', 'e', 'c'], false);
	assert.equal(hostQuota.ownership, 'settling');
	hostQuota.markReleased('b');
	assert.equal(hostQuota.ownership, 'settling');
	hostQuota.markReleased('a');
	assert.equal(hostQuota.ownership, 'owner');
	hostQuota.update(['a', 'b', 'c'], false);
	assert.equal(hostQuota.ownership, 'none');
	hostQuota.update(['d', 'b', 'c'], false);
	assert.equal(hostQuota.ownership, 'settling', 'a release before the host became owner again does not count');
	await time.advance(settleMs);
	assert.equal(hostQuota.ownership, 'owner');
});

test.test('a host with a stale list and no link opens no connections (guards against an isolated host that exceeds the connection limit)', () => {
	const isolated = {
		listAgeMs: 15_001, staleMs: 15_000, links: 0, isAlone: false,
	};
	assert.equal(quota.mayOpen(isolated), false);
	assert.equal(quota.mayOpen({...isolated, links: 1}), true);
	assert.equal(quota.mayOpen({...isolated, listAgeMs: 10}), true);
	assert.equal(quota.mayOpen({...isolated, isAlone: true}), true);
});

import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../../core/clock.js';
import * as decisions from '../../decisions.js';
import * as fleet from '../../tests/fake-fleet.js';
import * as freshnesses from '../freshness.js';

class Recording extends decisions.Silent {
	readonly names: string[] = [];

	override record(name = ''): void {
		this.names.push(name);
	}
}

/** A host whose configuration was last confirmed at time 0. */
class Host {
	readonly time = new clock.Manual();
	readonly clock = new fleet.HostClock(this.time);
	readonly decisions = new Recording();
	readonly stopped = new AbortController();
	confirmedAt = 0;
	hasLink = false;
	hasCustomers = true;
	knowsHosts = true;
	/** Whether an attempt to open a link succeeds. */
	isReachable = false;
	connectedAt: number | undefined;
	readonly freshness = new freshnesses.Freshness({
		clock: this.clock,
		decisions: this.decisions,
		configurationMs: 5000,
		ageMs: () => this.time.now() - this.confirmedAt,
		hasCustomers: () => this.hasCustomers,
		hasLink: () => this.hasLink,
		knowsHosts: () => this.knowsHosts,
		connect: () => {
			this.connectedAt ??= this.time.now();
			this.hasLink = this.isReachable;
		},
	});

	constructor() {
		this.confirmedAt = this.time.now();
		void this.freshness.run(this.stopped.signal);
	}

	async advance(ms: number): Promise<void> {
		await this.time.advance(ms);
	}

	async stop(): Promise<void> {
		this.stopped.abort();
		await this.time.advance(1000);
	}
}

test.test('guards against a cut-off host that serves keys which may have been removed for longer than the bound', async () => {
	const host = new Host();
	await host.advance(4700);
	assert.equal(host.freshness.isCurrent, true);
	await host.advance(200);
	assert.equal(host.freshness.isCurrent, false);
	await host.advance(300);
	host.confirmedAt = host.time.now();
	assert.equal(host.freshness.isCurrent, true);
	await host.advance(300);
	assert.deepEqual(host.decisions.names, ['keys-suspended', 'keys-served']);
	await host.stop();
});

// Guards against an outage of the store that stops all hosts.
test.test('a host without links opens them before the bound, and keeps serving while other hosts can be reached', async () => {
	const host = new Host();
	host.isReachable = true;
	const startedAt = host.time.now();
	for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 100) {
		await host.advance(100);
		assert.equal(host.freshness.isCurrent, true, `after ${elapsedMs} ms`);
	}

	assert.ok(host.connectedAt !== undefined && host.connectedAt - startedAt < 4500, String(host.connectedAt));
	assert.deepEqual(host.decisions.names, []);
	await host.stop();
});

test.test('a host that loses its last link after the bound stops serving keys at once', async () => {
	const host = new Host();
	host.isReachable = true;
	await host.advance(10_000);
	host.isReachable = false;
	host.hasLink = false;
	assert.equal(host.freshness.isCurrent, false);
	await host.stop();
});

test.test('a host that knows no other one keeps serving, and without customers no links are opened', async () => {
	const host = new Host();
	host.knowsHosts = false;
	host.hasCustomers = false;
	await host.advance(20_000);
	assert.equal(host.freshness.isCurrent, true);
	assert.equal(host.connectedAt, undefined);
	await host.stop();
});

// Guards against requests that wait in a stopped process and run under removed keys before it reads what other hosts sent.
test.test('a host that was stopped for longer than the bound trusts its links only after some time, or a newer configuration', async () => {
	const host = new Host();
	host.hasLink = true;
	await host.advance(10_000);
	assert.equal(host.freshness.isCurrent, true);
	host.clock.stop(6000);
	await host.advance(5990);
	assert.equal(host.freshness.isCurrent, false);
	await host.advance(300);
	assert.equal(host.freshness.isCurrent, false);
	const {confirmedAt} = host;
	host.confirmedAt = host.time.now();
	assert.equal(host.freshness.isCurrent, true);
	host.confirmedAt = confirmedAt;
	await host.advance(1200);
	assert.equal(host.freshness.isCurrent, true);
	await host.stop();
});

// Guards against a host that serves removed keys between the end of its isolation and the arrival of newer versions.
test.test('a host that was cut off serves again with a newer configuration, or with a link for as long as a version may take', async () => {
	const host = new Host();
	await host.advance(10_000);
	host.hasLink = true;
	await host.advance(4000);
	assert.equal(host.freshness.isCurrent, false);
	host.hasLink = false;
	await host.advance(1000);
	host.hasLink = true;
	await host.advance(4500);
	assert.equal(host.freshness.isCurrent, false);
	await host.advance(1000);
	assert.equal(host.freshness.isCurrent, true);
	await host.stop();
});

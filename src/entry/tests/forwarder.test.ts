import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as executor from '../executor.js';
import * as fleet from '../fleet.js';
import * as forwarder from '../forwarder.js';
import * as local from '../local.js';
import * as reporters from '../reporter.js';
import * as responder from '../responder.js';
import type * as statement from '../statement.js';
import * as fixture from './fixture.js';
import * as network from './fake-transport.js';
import * as states from './fake-state.js';

/** Longer than it takes to open a link and execute a statement. */
const replyMs = 200;

/** Host `near`, which forwards to the owners `one` and `two` of the connections to the servers. */
class Harness {
	readonly fixture = new fixture.Fixture();
	readonly network = new network.Network(this.fixture.time);
	readonly local = new local.Local(this.fixture.context, () => this.fixture.group);
	readonly reporter = new reporters.Reporter({
		clock: this.fixture.time, decisions: this.fixture.decisions, hasSeenClaim: () => false, findGroup: () => this.fixture.group,
	});

	readonly responders = new Map<string, responder.Responder>();
	readonly fleet = new fleet.Fleet({
		self: {name: 'near', ...this.announcement('near', 0.3)},
		clock: this.fixture.time,
		transport: new network.Transport(this.network),
		decisions: this.fixture.decisions,
		seeds: [],
		leaderPlace: () => undefined,
		connectionLimit: () => 2,
		serverPlaces: () => new Set(['west-a']),
		customers: () => undefined,
	});

	readonly caches = states.caches(this.fixture.time, this.fixture.decisions);
	readonly forwarder = new forwarder.Forwarder(this.fixture.context, this.local, service => this.fleet.route(service));

	async start(quota = 4): Promise<void> {
		await this.fixture.start(undefined, quota);
		for (const name of ['one', 'two']) {
			this.listen(name);
			this.fleet.update(name, this.announcement(name, 1));
		}
	}

	announcement(name: string, capacity: number): types.Announcement {
		return {
			place: 'west-a', region: 'west', peer: `${name}:1`, capacity,
		};
	}

	listen(name: string): void {
		this.network.listen(`${name}:1`, accepted => {
			const accepting = new responder.Responder(accepted, {
				executor: this.local, context: this.fixture.context, caches: this.caches, reporter: this.reporter,
			});
			this.responders.set(name, accepting);
			void accepting.run();
		});
	}

	async run(text: string, ms = replyMs): Promise<statement.Reply> {
		const {work, ...job} = this.fixture.statementJob(text);
		return this.fixture.runFor(ms, this.forwarder.run(job, work));
	}

	async begin(mode: types.AccessMode): Promise<executor.Transaction> {
		const opened = await this.fixture.runFor(replyMs, this.forwarder.begin(this.fixture.job(), mode));
		assert.ok(opened instanceof executor.Transaction);
		return opened;
	}

	get executedTexts(): string[] {
		return this.fixture.cluster.executions.map(({text}) => text);
	}
}

test.test('forwarded statements run with the values of their session', async () => {
	const harness = new Harness();
	await harness.start();
	const {work, ...job} = harness.fixture.statementJob('WRITE 1 a');
	job.state.values.set('zone', 'x');
	const reply = await harness.fixture.runFor(replyMs, harness.forwarder.run(job, work));
	assert.deepEqual([reply.refusal, reply.state], [null, 'none']);
	assert.deepEqual(harness.fixture.cluster.executions.map(({text, values}) => ({text, values})), [{text: 'WRITE 1 a', values: {zone: 'x'}}]);
	assert.equal(harness.responders.size, 1);
	await harness.run('READ 1');
	assert.equal(harness.responders.size, 2);
	await harness.fixture.stop();
});

test.test('an unreachable host is skipped at once, and is used again once it can be reached', async () => {
	const harness = new Harness();
	await harness.start();
	harness.network.refuse('one:1');
	for (let count = 0; count < 4; count++) {
		const reply = await harness.run('WRITE 1 a', 100);
		assert.equal(reply.refusal, null);
	}

	assert.equal(harness.executedTexts.length, 4);
	harness.listen('one');
	await harness.fixture.time.advance(600);
	await harness.run('READ 1');
	await harness.run('READ 1');
	await harness.run('READ 1');
	assert.equal(harness.responders.has('one'), true);
	await harness.fixture.stop();
});

test.test('without a reachable host, statements run on this host\'s own connections', async () => {
	const harness = new Harness();
	await harness.start();
	harness.network.refuse('one:1');
	harness.network.refuse('two:1');
	await harness.run('READ 1');
	await harness.run('READ 1');
	const reply = await harness.run('WRITE 1 a');
	assert.equal(reply.refusal, null);
	await harness.fixture.stop();
});

test.test('a write whose reply is lost with the link is in doubt and not sent again; a read runs again at another host', async () => {
	const harness = new Harness();
	await harness.start();
	for (const text of ['WRITE 1 a', 'READ 1']) {
		const {work, ...job} = harness.fixture.statementJob(text);
		const replied = harness.forwarder.run(job, work);
		// At this time the request has arrived and its reply has not been sent.
		await harness.fixture.time.advance(16);
		harness.network.closeLinks();
		const reply = await harness.fixture.runFor(replyMs, replied);
		assert.equal(reply.refusal, text === 'READ 1' ? null : 'in-doubt');
	}

	assert.equal(harness.executedTexts.filter(text => text === 'WRITE 1 a').length, 1);
	await harness.fixture.stop();
});

test.test('a read whose host stops responding gets a reply from another host after the hedge delay', async () => {
	const harness = new Harness();
	await harness.start();
	await harness.run('READ 1');
	await harness.run('READ 1');
	harness.network.ends[0].dropsOutput = true;
	const replies = [await harness.run('READ 2', 600), await harness.run('READ 2', 600)];
	assert.deepEqual(replies.map(({refusal}) => refusal), [null, null]);
	await harness.fixture.stop();
});

// Guards against a hedged read that another host runs after the version that removed the session's key.
test.test('a read is not sent to a further host once the key of its session is removed', async () => {
	const harness = new Harness();
	await harness.start();
	await harness.run('READ 1');
	await harness.run('READ 1');
	const executed = harness.executedTexts.length;
	for (const end of harness.network.ends) {
		end.dropsOutput = true;
	}

	let isRevoked = false;
	const sent = harness.network.ends.length;
	const {work, ...job} = harness.fixture.statementJob('READ 2');
	const running = harness.forwarder.run({...job, isRevoked: () => isRevoked}, work);
	await harness.fixture.time.advance(100);
	isRevoked = true;
	for (const end of harness.network.ends) {
		end.dropsOutput = false;
	}

	const reply = await harness.fixture.runFor(1500, running);
	assert.equal(reply.refusal, 'failed');
	assert.deepEqual([harness.executedTexts.length, harness.network.ends.length], [executed, sent]);
	await harness.fixture.stop();
});

test.test('a forwarded transaction keeps its connection at the other host and commits there', async () => {
	const harness = new Harness();
	await harness.start();
	const opened = await harness.begin('write');
	const {work} = harness.fixture.statementJob('WRITE 1 a');
	const written = await harness.fixture.runFor(replyMs, opened.run(work, 500));
	assert.deepEqual([written.refusal, written.state], [null, 'open']);
	const committed = await harness.fixture.runFor(replyMs, opened.commit('q2', 'COMMIT', 500));
	assert.deepEqual([committed.refusal, committed.state], [null, 'none']);
	assert.deepEqual(harness.executedTexts, ['WRITE 1 a', 'COMMIT']);
	assert.ok([...harness.responders.values()].every(({isIdle}) => isIdle));
	await harness.fixture.stop();
});

test.test('a forwarded transaction whose link is lost is aborted, rolled back at the other host, and never commits', async () => {
	const harness = new Harness();
	await harness.start(1);
	const opened = await harness.begin('write');
	const {work} = harness.fixture.statementJob('WRITE 1 a');
	await harness.fixture.runFor(replyMs, opened.run(work, 500));
	harness.network.closeLinks();
	const lost = await harness.fixture.runFor(replyMs, opened.run(work, 500));
	assert.deepEqual([lost.refusal, opened.isFailed, opened.isLost], ['aborted', true, true]);
	const committed = await harness.fixture.runFor(replyMs, opened.commit('q2', 'COMMIT', 500));
	assert.equal(committed.refusal, 'aborted');
	assert.deepEqual(harness.executedTexts, ['WRITE 1 a']);
	// Succeeds only if the rollback has released the only connection.
	await harness.begin('write');
	await harness.fixture.stop();
});

test.test('a COMMIT whose reply is lost with the link is in doubt', async () => {
	const harness = new Harness();
	await harness.start();
	const opened = await harness.begin('write');
	const {work} = harness.fixture.statementJob('WRITE 1 a');
	await harness.fixture.runFor(replyMs, opened.run(work, 500));
	const committing = opened.commit('q2', 'COMMIT', 500);
	await harness.fixture.time.advance(8);
	harness.network.closeLinks();
	const committed = await harness.fixture.runFor(replyMs, committing);
	assert.equal(committed.refusal, 'in-doubt');
	await harness.fixture.stop();
});

test.test('a draining host gets no new requests, and its open transactions continue', async () => {
	const harness = new Harness();
	await harness.start();
	await harness.run('READ 1');
	await harness.run('READ 1');
	const opened = await harness.begin('write');
	const busy = [...harness.responders].find(([, one]) => !one.isIdle)![0];
	harness.responders.get(busy)!.drain();
	await harness.fixture.time.advance(20);
	const route = harness.fleet.route('ledgers');
	assert.ok(route.every(target => target === 'local' || target.name !== busy));
	const {work} = harness.fixture.statementJob('WRITE 1 a');
	await harness.fixture.runFor(replyMs, opened.run(work, 500));
	const committed = await harness.fixture.runFor(replyMs, opened.commit('q2', 'COMMIT', 500));
	assert.equal(committed.refusal, null);
	await harness.fixture.stop();
});

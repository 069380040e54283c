import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as executor from '../executor.js';
import * as fleet from '../fleet.js';
import * as forwarder from '../forwarder.js';
import * as local from '../local.js';
import * as responder from '../responder.js';
import type * as statement from '../statement.js';
import * as fixture from './fixture.js';
import * as network from './fake-transport.js';
import * as states from './fake-state.js';

/** Longer than a link takes to open and a statement to run. */
const answerMs = 200;

/** Host `near` without connections, in front of hosts `one` and `two` that have some. */
class Forwarding {
	readonly parts = new fixture.Fixture();
	readonly network = new network.Network(this.parts.time);
	readonly own = new local.Local(this.parts.context, () => this.parts.group);
	readonly responders = new Map<string, responder.Responder>();
	readonly fleet = new fleet.Fleet({
		self: {name: 'near', ...this.announcement('near', 0.3)},
		clock: this.parts.time,
		transport: new network.Transport(this.network),
		decisions: this.parts.record,
		seeds: [],
		connectionLimit: () => 2,
		serverPlaces: () => new Set(['west-a']),
	});

	readonly replicas = states.replicas(this.parts.time, this.parts.record);
	readonly forwarder = new forwarder.Forwarder(this.parts.context, this.own, service => this.fleet.route(service));

	async start(share = 4): Promise<void> {
		await this.parts.start(undefined, share);
		for (const name of ['one', 'two']) {
			this.listen(name);
			this.fleet.take(name, this.announcement(name, 1));
		}
	}

	announcement(name: string, capacity: number): types.Announcement {
		return {
			place: 'west-a', region: 'west', peer: `${name}:1`, capacity,
		};
	}

	listen(name: string): void {
		this.network.listen(`${name}:1`, accepted => {
			const made = new responder.Responder(accepted, {executor: this.own, context: this.parts.context, replicas: this.replicas});
			this.responders.set(name, made);
			void made.run();
		});
	}

	async run(text: string, ms = answerMs): Promise<statement.Reply> {
		const {work, ...job} = this.parts.run(text);
		return this.parts.after(ms, this.forwarder.run(job, work));
	}

	async begin(mode: types.AccessMode): Promise<executor.Transaction> {
		const opened = await this.parts.after(answerMs, this.forwarder.begin(this.parts.job(), mode));
		assert.ok(opened instanceof executor.Transaction);
		return opened;
	}

	get ran(): string[] {
		return this.parts.cluster.ran.map(({text}) => text);
	}
}

test.test('statements run at other hosts, with the values of their session', async () => {
	const hosts = new Forwarding();
	await hosts.start();
	const {work, ...job} = hosts.parts.run('WRITE 1 a');
	job.state.values.set('zone', 'x');
	const reply = await hosts.parts.after(answerMs, hosts.forwarder.run(job, work));
	assert.deepEqual([reply.refusal, reply.state], [null, 'none']);
	assert.deepEqual(hosts.parts.cluster.ran.map(({text, values}) => ({text, values})), [{text: 'WRITE 1 a', values: {zone: 'x'}}]);
	assert.equal(hosts.responders.size, 1);
	await hosts.run('READ 1');
	assert.equal(hosts.responders.size, 2);
	await hosts.parts.stop();
});

test.test('a host that can\'t be reached is passed over at once, and work goes on at the next one', async () => {
	const hosts = new Forwarding();
	await hosts.start();
	hosts.network.refuse('one:1');
	for (let count = 0; count < 4; count++) {
		const reply = await hosts.run('WRITE 1 a', 100);
		assert.equal(reply.refusal, null);
	}

	assert.equal(hosts.ran.length, 4);
	hosts.listen('one');
	await hosts.parts.time.advance(600);
	await hosts.run('READ 1');
	await hosts.run('READ 1');
	await hosts.run('READ 1');
	assert.equal(hosts.responders.has('one'), true);
	await hosts.parts.stop();
});

test.test('with no other host in reach the work is done here', async () => {
	const hosts = new Forwarding();
	await hosts.start();
	hosts.network.refuse('one:1');
	hosts.network.refuse('two:1');
	await hosts.run('READ 1');
	await hosts.run('READ 1');
	const reply = await hosts.run('WRITE 1 a');
	assert.equal(reply.refusal, null);
	await hosts.parts.stop();
});

test.test('a write whose reply is lost with the link is in doubt and not sent again; a read runs at another host', async () => {
	const hosts = new Forwarding();
	await hosts.start();
	for (const text of ['WRITE 1 a', 'READ 1']) {
		const {work, ...job} = hosts.parts.run(text);
		const replied = hosts.forwarder.run(job, work);
		// The request has arrived and its reply has not left.
		await hosts.parts.time.advance(16);
		hosts.network.cut();
		const reply = await hosts.parts.after(answerMs, replied);
		assert.equal(reply.refusal, text === 'READ 1' ? null : 'in-doubt');
	}

	assert.equal(hosts.ran.filter(text => text === 'WRITE 1 a').length, 1);
	await hosts.parts.stop();
});

test.test('a read whose host falls silent is answered by another host within the hedge time', async () => {
	const hosts = new Forwarding();
	await hosts.start();
	await hosts.run('READ 1');
	await hosts.run('READ 1');
	hosts.network.ends[0].isSilent = true;
	const replies = [await hosts.run('READ 2', 600), await hosts.run('READ 2', 600)];
	assert.deepEqual(replies.map(({refusal}) => refusal), [null, null]);
	await hosts.parts.stop();
});

test.test('a transaction keeps its connection at the other host, and commits there', async () => {
	const hosts = new Forwarding();
	await hosts.start();
	const opened = await hosts.begin('write');
	const {work} = hosts.parts.run('WRITE 1 a');
	const written = await hosts.parts.after(answerMs, opened.run(work, 500));
	assert.deepEqual([written.refusal, written.state], [null, 'open']);
	const committed = await hosts.parts.after(answerMs, opened.commit('q2', 'COMMIT', 500));
	assert.deepEqual([committed.refusal, committed.state], [null, 'none']);
	assert.deepEqual(hosts.ran, ['WRITE 1 a', 'COMMIT']);
	assert.ok([...hosts.responders.values()].every(({isIdle}) => isIdle));
	await hosts.parts.stop();
});

test.test('a transaction whose link is lost is aborted, rolled back there, and never commits', async () => {
	const hosts = new Forwarding();
	await hosts.start(1);
	const opened = await hosts.begin('write');
	const {work} = hosts.parts.run('WRITE 1 a');
	await hosts.parts.after(answerMs, opened.run(work, 500));
	hosts.network.cut();
	const lost = await hosts.parts.after(answerMs, opened.run(work, 500));
	assert.deepEqual([lost.refusal, opened.isFailed, opened.isLost], ['aborted', true, true]);
	const committed = await hosts.parts.after(answerMs, opened.commit('q2', 'COMMIT', 500));
	assert.equal(committed.refusal, 'aborted');
	assert.deepEqual(hosts.ran, ['WRITE 1 a']);
	// The only connection is free again.
	await hosts.begin('write');
	await hosts.parts.stop();
});

test.test('a COMMIT whose reply is lost with the link is in doubt', async () => {
	const hosts = new Forwarding();
	await hosts.start();
	const opened = await hosts.begin('write');
	const {work} = hosts.parts.run('WRITE 1 a');
	await hosts.parts.after(answerMs, opened.run(work, 500));
	const committing = opened.commit('q2', 'COMMIT', 500);
	await hosts.parts.time.advance(8);
	hosts.network.cut();
	const committed = await hosts.parts.after(answerMs, committing);
	assert.equal(committed.refusal, 'in-doubt');
	await hosts.parts.stop();
});

test.test('a host that leaves gets no new work, and its open transactions go on', async () => {
	const hosts = new Forwarding();
	await hosts.start();
	await hosts.run('READ 1');
	await hosts.run('READ 1');
	const opened = await hosts.begin('write');
	const busy = [...hosts.responders].find(([, one]) => !one.isIdle)![0];
	hosts.responders.get(busy)!.leave();
	await hosts.parts.time.advance(20);
	const route = hosts.fleet.route('ledgers');
	assert.ok(route.every(target => target === 'local' || target.name !== busy));
	const {work} = hosts.parts.run('WRITE 1 a');
	await hosts.parts.after(answerMs, opened.run(work, 500));
	const committed = await hosts.parts.after(answerMs, opened.commit('q2', 'COMMIT', 500));
	assert.equal(committed.refusal, null);
	await hosts.parts.stop();
});

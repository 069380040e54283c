import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as executor from '../executor.js';
import * as local from '../local.js';
import * as read from '../read.js';
import * as fixture from './fixture.js';

/** Position that every server's log contains. */
const start = {term: 1, index: 0};

/** A group whose servers are used by customers through this host's own connections. */
class Harness extends fixture.Fixture {
	readonly local = new local.Local(this.context, () => this.group);

	async run(text: string, customer: string | undefined, kind: 'primary' | 'session' = 'session'): Promise<string | null> {
		const {work, ...job} = this.statementJob(text, {customer, route: this.route({kind})});
		const reply = await this.runFor(200, this.local.run({...job, id: `${customer ?? 'own'} ${text}`}, {...work, id: `${customer ?? 'own'} ${text}`}));
		return reply.refusal;
	}

	/** Opens an idle connection of a customer at a server. */
	async open(name: string, customer: string): Promise<void> {
		const server = this.group.members.find(({id}) => id === name);
		const acquired = server && await this.runFor(50, server.pool.acquire(50, {customer}));
		assert.ok(acquired && Either.isRight(acquired));
		await server.pool.release(acquired.right, 'clean');
	}

	/** Servers for a read of a customer, in the order of preference. */
	candidates(customer: string | undefined): string[] {
		return new read.Reader(this.context).candidates(this.job({customer}), start, 'read').map(({id}) => id);
	}

	async transact(mode: 'read' | 'write', customer: string): Promise<void> {
		const opened = await this.runFor(200, this.local.begin(this.job({customer}), mode));
		assert.ok(opened instanceof executor.Transaction);
		const {work} = this.statementJob(mode === 'read' ? 'READ 1' : 'WRITE 1 a');
		await this.runFor(200, opened.run({...work, id: `${customer} ${mode}`}, 500));
		await this.runFor(200, opened.commit(`${customer} end`, 'COMMIT', 500));
	}
}

test.test('guards against a statement or transaction that runs on a connection of another customer', async () => {
	const harness = new Harness();
	await harness.start();
	for (const customer of ['one', 'two', undefined, 'one', 'two']) {
		for (const text of ['READ 1', 'WRITE 1 a']) {
			assert.equal(await harness.run(text, customer), null);
			assert.equal(await harness.run(text, customer, 'primary'), null);
		}
	}

	for (const customer of ['one', 'two', 'three']) {
		await harness.transact('read', customer);
		await harness.transact('write', customer);
	}

	const {executions} = harness.cluster;
	assert.equal(executions.length, 32);
	assert.deepEqual(executions.filter(({customer, id}) => (customer ?? 'own') !== id.split(' ')[0]), []);
	await harness.stop();
});

test.test('guards against handshakes for customers whose connections were closed though there was room', async () => {
	const harness = new Harness();
	await harness.start();
	harness.group.resize({
		softLimit: 4, hardLimit: 4, startLimit: 1, retentionMs: 30_000,
	});
	for (const customer of ['one', 'two', 'three']) {
		assert.equal(await harness.run('READ 1', customer), null);
	}

	const opened = [...harness.cluster.get('b').connections];
	// Without work the group sends no polls, which would use the connections as well.
	harness.isActive = false;
	await harness.time.advance(20_000);
	for (const customer of ['one', 'two', 'three']) {
		assert.equal(await harness.run('READ 1', customer), null);
	}

	assert.deepEqual([...harness.cluster.get('b').connections].filter(connection => !opened.includes(connection)), [], 'a connection was opened again');
	assert.ok(opened.every(({isOpen}) => isOpen));
	assert.deepEqual(harness.group.members.map(({pool}) => pool.open > 0), [true, true, true]);
	await harness.time.advance(40_000);
	assert.deepEqual(harness.group.members.map(({pool}) => pool.open), [0, 0, 0]);
	await harness.stop();
});

test.test('guards against more connections than the reserve allows while servers may count those of the previous process', async () => {
	const harness = new Harness();
	await harness.start();
	harness.group.resize({
		softLimit: 4, hardLimit: 4, startLimit: 1, retentionMs: 30_000,
	}, true);
	const run = async (customer: string): Promise<string | null> => {
		const {work, ...job} = harness.statementJob('WRITE 1 a', {customer});
		const {refusal} = await harness.local.run(job, work);
		return refusal;
	};

	const replies = Promise.all(['one', 'two', 'three'].map(async customer => run(customer)));
	await harness.time.advance(20);
	assert.ok(harness.group.members.every(({pool}) => pool.open <= 1));
	assert.deepEqual(await harness.runFor(800, replies), [null, null, null]);
	await harness.stop();
});

test.test('guards against reads that open a connection though an equivalent server has an idle one of their customer', async () => {
	const harness = new Harness();
	await harness.start();
	await harness.open('c', 'one');
	await harness.open('b', 'two');
	// Server b is in this host's place. An open connection doesn't outweigh traffic between places.
	assert.deepEqual(harness.candidates('one'), ['b', 'c', 'a']);
	await harness.time.advance(1);
	harness.group.members.find(({id}) => id === 'b')?.recordFailure(harness.time.now());
	assert.deepEqual(harness.candidates('one'), ['c', 'a', 'b']);
	// An open connection at a server that recently failed doesn't count, and the order of the others varies.
	assert.equal(harness.candidates('two').at(-1), 'b');
	assert.equal(harness.candidates(undefined).at(-1), 'b');
	await harness.stop();
});

test.test('guards against limits by place that are not applied to servers, or while a host is starting', async () => {
	const harness = new Harness();
	const quota = {
		softLimit: 4, hardLimit: 4, startLimit: 1, retentionMs: 30_000, placeLimits: new Map([['west', 3]]),
	};
	await harness.start();
	const fill = async (isStarting: boolean): Promise<number[]> => {
		harness.group.resize(quota, isStarting);
		const acquired = harness.group.members.flatMap(({pool}) => Array.from({length: 6}, async () => pool.acquire(100, {customer: 'one'})));
		await harness.time.advance(50);
		const open = harness.group.members.map(({pool}) => pool.open);
		const outcomes = await harness.runFor(100, Promise.all(acquired));
		for (const [index, outcome] of outcomes.entries()) {
			if (Either.isRight(outcome)) {
				void harness.group.members[Math.floor(index / 6)]?.pool.release(outcome.right, 'clean');
			}
		}

		return open;
	};

	assert.deepEqual(await fill(true), [1, 1, 1]);
	assert.deepEqual(await fill(false), [4, 3, 4]);
	await harness.stop();
});

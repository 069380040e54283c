import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as limiters from '../customers/limiter.js';
import * as deployments from '../deployment.js';
import * as executor from '../executor.js';
import type * as jobs from '../job.js';
import * as local from '../local.js';
import * as sessions from '../session.js';
import * as statement from '../statement.js';
import * as callers from './fake-caller.js';
import * as fixture from './fixture.js';

/** Longer than the maximum wait for a connection. */
const replyMs = 400;

class Harness {
	readonly fixture = new fixture.Fixture();
	readonly deployment = new deployments.Deployment(this.fixture.time, this.fixture.decisions);
	#version = 0;

	async start(kind: types.RouteKind, quota = 4): Promise<void> {
		this.configure([this.fixture.route({kind, maximumAgeMs: kind === 'primary' ? 0 : 1500})]);
		await this.fixture.start(undefined, quota);
	}

	configure(routes: types.Route[]): void {
		this.#version++;
		this.deployment.accept({
			version: this.#version, routes, databases: [], idleTransactionMs: 3000,
		}, 'test');
	}

	open(): {client: callers.Caller; session: sessions.Session} {
		const client = new callers.Caller();
		const session = new sessions.Session(client, {
			context: this.fixture.context,
			deployment: this.deployment,
			executor: new local.Local(this.fixture.context, () => this.fixture.group),
			limiter: new limiters.Unlimited(),
		});
		void session.run();
		return {client, session};
	}

	async request(client: callers.Caller, ...statements: statement.Statement[]): Promise<statement.Reply[]> {
		for (const given of statements) {
			client.submit(given);
			await this.fixture.time.advance(replyMs);
		}

		return client.replies.slice(-statements.length);
	}
}

function direct(text: string): statement.Statement {
	return {kind: 'direct', mode: text.startsWith('WRITE') ? 'write' : 'read', text};
}

test.test('sessions that share a connection do not share values or prepared names', async () => {
	const harness = new Harness();
	await harness.start('primary', 1);
	const one = harness.open();
	const other = harness.open();
	await harness.request(one.client, {kind: 'set', name: 'zone', value: 'x'}, {
		kind: 'prepare', name: 's1', mode: 'write', shape: 'qa',
	}, {kind: 'execute', name: 's1', parameters: '1 d'});
	await harness.request(other.client, {
		kind: 'prepare', name: 's1', mode: 'write', shape: 'qb',
	}, {kind: 'execute', name: 's1', parameters: '2 d'});
	await harness.request(one.client, {kind: 'execute', name: 's1', parameters: '3 d'});
	assert.deepEqual(harness.fixture.cluster.executions.map(({text, values}) => ({text, values})), [
		{text: 'WRITE qa 1 d', values: {zone: 'x'}},
		{text: 'WRITE qb 2 d', values: {}},
		{text: 'WRITE qa 3 d', values: {zone: 'x'}},
	]);
	await harness.fixture.stop();
});

test.test('a transaction keeps its connection, and a write that gets none in time is refused as busy', async () => {
	const harness = new Harness();
	await harness.start('primary', 1);
	const one = harness.open();
	const other = harness.open();
	const [begun, written] = await harness.request(one.client, {kind: 'begin', mode: 'write'}, direct('WRITE 1 a'));
	assert.deepEqual([begun?.state, written?.state], ['open', 'open']);
	const [refused] = await harness.request(other.client, direct('WRITE 2 b'));
	assert.equal(refused?.refusal, 'busy');
	const [committed] = await harness.request(one.client, {kind: 'commit', text: 'COMMIT'});
	assert.deepEqual([committed?.refusal, committed?.state], [null, 'none']);
	assert.deepEqual(harness.fixture.cluster.executions.map(({text}) => text), ['WRITE 1 a', 'COMMIT']);
	await harness.fixture.stop();
});

test.test('a transaction whose connection is lost before COMMIT is aborted and not committed', async () => {
	const harness = new Harness();
	await harness.start('primary');
	const {client} = harness.open();
	await harness.request(client, {kind: 'begin', mode: 'write'}, direct('WRITE 1 a'));
	for (const connection of harness.fixture.cluster.get('a').connections) {
		connection.close();
	}

	const [lost, committed] = await harness.request(client, direct('WRITE 2 b'), {kind: 'commit', text: 'COMMIT'});
	assert.deepEqual([lost?.refusal, lost?.state], ['aborted', 'failed']);
	assert.deepEqual([committed?.refusal, committed?.state], ['aborted', 'none']);
	await harness.fixture.stop();
});

test.test('a COMMIT whose reply is lost is in doubt', async () => {
	const harness = new Harness();
	await harness.start('primary');
	const {client} = harness.open();
	await harness.request(client, {kind: 'begin', mode: 'write'}, direct('WRITE 1 a'));
	harness.fixture.cluster.get('a').responseMode = 'answer-lost';
	client.submit({kind: 'commit', text: 'COMMIT'});
	await harness.fixture.time.advance(900);
	assert.equal(client.replies.at(-1)?.refusal, 'in-doubt');
	await harness.fixture.stop();
});

test.test('a transaction that is idle for too long is aborted, and the reply to the next statement reports it', async () => {
	const harness = new Harness();
	await harness.start('primary', 1);
	const {client} = harness.open();
	await harness.request(client, {kind: 'begin', mode: 'write'});
	await harness.fixture.time.advance(4000);
	const [aborted, ended] = await harness.request(client, direct('WRITE 1 a'), {kind: 'rollback', text: 'ROLLBACK'});
	assert.equal(aborted?.refusal, 'aborted');
	assert.deepEqual([ended?.refusal, ended?.state], [null, 'none']);
	assert.deepEqual(harness.fixture.cluster.executions, []);
	await harness.fixture.stop();
});

test.test('a session whose route was removed is refused from the next statement on', async () => {
	const harness = new Harness();
	await harness.start('session');
	const {client} = harness.open();
	await harness.request(client, direct('READ 1'));
	harness.configure([]);
	const [refused] = await harness.request(client, direct('READ 2'));
	assert.equal(refused?.refusal, 'no-database');
	assert.equal(harness.fixture.cluster.executions.length, 1);
	await harness.fixture.stop();
});

test.test('a draining session stays open until its transaction has ended', async () => {
	const harness = new Harness();
	await harness.start('primary');
	const {client, session} = harness.open();
	await harness.request(client, {kind: 'begin', mode: 'write'});
	session.drain();
	assert.equal(client.isClosed, false);
	await harness.request(client, direct('WRITE 1 a'), {kind: 'commit', text: 'COMMIT'});
	assert.deepEqual(client.replies.map(({refusal}) => refusal), [null, null, null]);
	assert.equal(client.isClosed, true);
	await harness.fixture.stop();
});

/** An executor that replies at once and records the jobs. */
class RecordingExecutor extends executor.Executor {
	readonly jobs: jobs.Job[] = [];

	override prepare(): void {
		// Nothing to prepare.
	}

	override async run(job: jobs.Job): Promise<statement.Reply> {
		this.jobs.push(job);
		return statement.success('none');
	}

	override async begin(): Promise<statement.Reply> {
		return statement.refuse('busy', 'not needed', 'none');
	}
}

test.test('an attempt that is still running after the reply to its statement does not use values that are set later', async () => {
	const harness = new Harness();
	await harness.start('session');
	const recorder = new RecordingExecutor();
	const client = new callers.Caller();
	void new sessions.Session(client, {
		context: harness.fixture.context, deployment: harness.deployment, executor: recorder, limiter: new limiters.Unlimited(),
	}).run();
	await harness.request(client, direct('READ 1'), {kind: 'set', name: 'v1', value: '1'}, direct('READ 2'));
	assert.deepEqual(recorder.jobs.map(({state}) => [...state.values]), [[], [['v1', '1']]]);
	await harness.fixture.stop();
});

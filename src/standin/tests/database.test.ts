import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as client from '../../mysql/client.js';
import * as group from '../group.js';

/** Starts a group that ends with the test, also if the test fails. */
async function start(context: test.TestContext) {
	const servers = await group.Group.start({places: ['x', 'y', 'z'], schema: ['CREATE TABLE t (id INTEGER PRIMARY KEY)']});
	context.after(() => {
		servers.stop();
	});
	const connect = async (name: string): Promise<client.Connection> => {
		const target = new client.Server({
			name, place: '', host: '127.0.0.1', port: servers.server(name).port, user: 'u', password: '',
		});
		const outcome = await target.connect(1000);
		assert.ok(Either.isRight(outcome));
		return outcome.right as client.Connection;
	};

	return {servers, connect};
}

// Guards against a failover that waits for the write lock of a transaction whose client has disconnected or is idle, and
// against a successful COMMIT of a transaction that the new term aborted.
test.test('a server that adopts a term aborts open transactions and can be promoted at once', async context => {
	const {servers, connect} = await start(context);
	const [caller, control] = [await connect('a'), await connect('a')];
	await caller.execute('BEGIN', 1000);
	assert.ok(Either.isRight(await caller.execute('INSERT INTO t VALUES (1)', 1000)));
	const startedAt = performance.now();
	const adopted = await control.adoptTerm(2, 'x', 1000);
	const promoted = await control.promote(2, 'x', 4000);
	assert.ok(Either.isRight(adopted) && adopted.right.granted && Either.isRight(promoted) && promoted.right.granted);
	assert.ok(performance.now() - startedAt < 1000);
	const committed = await caller.execute('COMMIT', 1000);
	assert.ok(Either.isLeft(committed));
	assert.deepEqual(servers.server('a').entries.flatMap(({writes}) => writes), []);
	control.close();
});

// Guards against a deadlock in which statements that wait for the write lock use up the slots that its holder needs.
test.test('transactions that wait for the write lock take no slots', async context => {
	const {connect} = await start(context);
	const callers = await Promise.all(Array.from({length: 5}, async () => connect('a')));
	const startedAt = performance.now();
	await Promise.all(callers.map(async (caller, index) => {
		await caller.execute('BEGIN', 5000);
		await caller.execute(`INSERT INTO t VALUES (${index})`, 5000);
		assert.ok(Either.isRight(await caller.execute('COMMIT', 5000)));
		caller.close();
	}));
	assert.ok(performance.now() - startedAt < 2000);
});

// Guards against a second initial entry of a term when a promotion is retried because its response was lost.
test.test('a repeated promotion changes nothing, even concurrently with the first one', async context => {
	const {servers, connect} = await start(context);
	const [first, second] = [await connect('a'), await connect('a')];
	await first.adoptTerm(2, 'x', 1000);
	await Promise.all([first.promote(2, 'x', 1000), second.promote(2, 'x', 1000)]);
	assert.equal(servers.server('a').entries.filter(({term}) => term === 2).length, 1);
	first.close();
	second.close();
});

// Guards against a planned move that never completes under continuous writes, because replicas can't fetch the former
// primary's last entries.
test.test('a former primary serves its log to followers of its term until it follows another', async context => {
	const {servers, connect} = await start(context);
	const control = await connect('a');
	servers.server('b').set({lagMs: 100});
	await control.execute('INSERT INTO t VALUES (1)', 1000);
	const grant = await control.adoptTerm(2, 'x', 1000);
	assert.ok(Either.isRight(grant));
	const replica = await connect('b');
	const reached = await replica.wait(grant.right.status.last, 1000, 2000);
	assert.ok(Either.isRight(reached));
	assert.deepEqual(reached.right.last, grant.right.status.last);
	assert.equal(reached.right.term, 1);
	control.close();
	replica.close();
});

// Guards against a request that waits until its deadline for a response on a connection that its own process closed.
test.test('closing a connection fails its pending call at once', async context => {
	const {servers, connect} = await start(context);
	servers.server('a').set({serviceMs: 500});
	const connection = await connect('a');
	const answer = connection.execute('SELECT 1', 5000);
	const startedAt = performance.now();
	connection.close();
	const outcome = await answer;
	assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'outcome-unknown');
	assert.ok(performance.now() - startedAt < 200);
});

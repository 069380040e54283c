import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as acknowledgement from '../acknowledgement.js';
import * as clock from '../clock.js';
import * as group from '../group.js';
import * as retry from '../retry.js';
import * as settlement from '../settlement.js';
import * as write from '../write.js';
import * as fakes from './fake-server.js';

type Fixture = {
	readonly time: clock.Manual;
	readonly servers: readonly [fakes.Server, fakes.Server, fakes.Server];
	readonly writer: write.Writer;
	readonly resolver: settlement.Settlement;
	readonly stop: AbortController;
};

/** Starts observing primary `a` of term 1 and two replicas. */
async function start(): Promise<Fixture> {
	const time = new clock.Manual();
	const servers = [new fakes.Server('a', time, 'primary'), new fakes.Server('b', time), new fakes.Server('c', time)] as const;
	const owned = new group.Group({
		name: 'ledgers', place: 'puget-a', quota: 3, timing: {probeIntervalMs: 50, probeTimeoutMs: 500},
	}, servers, time);
	const stop = new AbortController();
	void owned.run(stop.signal);
	await time.advance(20);
	const resolver = new settlement.Settlement(owned);
	return {
		time, servers: [...servers], writer: new write.Writer(owned, new retry.Budget(), resolver), resolver, stop,
	};
}

/** Makes `b` primary of term 2. `a` is isolated: it does not know and still reports itself as primary. */
function promote([, ...others]: Fixture['servers']): void {
	const last = {term: 2, index: 2};
	const history = [{term: 1, start: 1}, {term: 2, start: 2}];
	for (const server of others) {
		server.state = {
			...server.state, role: server.name === 'b' ? 'primary' : 'replica', term: 2, last, history,
		};
	}
}

test.test('guards against the answer of a locking read at a replaced primary, which has no commit that could be refused', async () => {
	const {time, servers, writer, stop} = await start();
	servers[0].onStatement = async () => {
		promote(servers);
		return Either.right(fakes.completion('a'));
	};

	const answer = writer.execute(fakes.request({kind: 'write', sql: 'SELECT 1 FOR UPDATE', requestId: ''}), {
		isIdempotent: false, isRecordable: false, policy: acknowledgement.select('durable', time), permit: {release() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	await time.advance(1200);
	const outcome = await answer;
	assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'outcome-unknown', JSON.stringify(outcome));
	stop.abort();
});

test.test('guards against an outcome taken from a record that only a replaced primary has', async () => {
	const {time, servers, resolver, stop} = await start();
	const [oldPrimary, newPrimary] = servers;
	const done = [['done', '1', '7']];
	oldPrimary.onStatement = async sql => {
		if (sql.startsWith('INSERT')) {
			return Either.left({
				kind: 'database', step: 'receive', peer: 'a', message: 'duplicate', code: 1062,
			});
		}

		promote(servers);
		return Either.right({
			kind: 'rows', columns: [], rows: done, server: 'a',
		});
	};

	const settled = resolver.settle('cascade/r1', time.now() + 1000);
	newPrimary.onStatement = async () => {
		const last = {term: 2, index: 3};
		for (const server of servers.slice(1)) {
			server.state = {...server.state, last};
		}

		return Either.right({...fakes.completion('b'), position: last});
	};

	await time.advance(1500);
	const outcome = await settled;
	assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'not-run', JSON.stringify(outcome));
	stop.abort();
});

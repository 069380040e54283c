import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as clock from '../clock.js';
import * as errors from '../errors.js';
import * as group from '../group.js';
import * as routing from '../routing.js';
import * as service from '../service.js';
import * as statement from '../statement.js';
import * as fakes from './fake-server.js';

/** When the connection is lost during a commit; with `position`, only the position is missing in the reply. */
type Loss = 'none' | 'record' | 'before-commit' | 'after-commit' | 'late-commit' | 'position';

/** A fake primary that stores request records and loses the connection at the point that `loss` names. */
class Ledger {
	readonly records = new Map<string, string>();
	committed = 0;
	loss: Loss = 'none';
	readonly #servers: readonly fakes.Server[];
	readonly #open = new Map<fakes.Connection, string[]>();

	constructor(servers: readonly fakes.Server[]) {
		this.#servers = servers;
		servers[0].onStatement = async (sql, connection) => this.#answer(sql, connection);
	}

	async #answer(sql: string, connection: fakes.Connection): Promise<errors.Outcome<types.Answer> | undefined> {
		const keys = this.#open.get(connection);
		const key = /'(?<key>[^']*)'/v.exec(sql)?.groups?.key;
		if (sql === 'BEGIN') {
			this.#open.set(connection, []);
		} else if (sql === 'COMMIT') {
			return this.#commit(keys ?? []);
		} else if (key !== undefined) {
			return sql.startsWith('SELECT') ? this.#find(key) : this.#insert(key, sql.includes('\'done\'') ? 'done' : 'cancelled', keys);
		}

		return this.#ok(false);
	}

	#find(key: string): errors.Outcome<types.Answer> {
		const found = this.records.get(key);
		return Either.right({
			kind: 'rows', columns: [], rows: found ? [[found, '0', '0']] : [], server: 'a',
		});
	}

	#insert(key: string, state: string, keys: string[] | undefined): errors.Outcome<types.Answer> | undefined {
		if (this.records.has(key)) {
			return Either.left(errors.database('a', 'duplicate', 1062));
		}

		if (keys) {
			keys.push(key);
			return this.#losesConnection('record') ? undefined : this.#ok(false);
		}

		this.records.set(key, state);
		return this.#ok(true);
	}

	/** Commits unless a record of the same id exists, like the primary key of the table of records. */
	async #commit(keys: readonly string[]): Promise<errors.Outcome<types.Answer> | undefined> {
		if (this.#losesConnection('before-commit')) {
			return undefined;
		}

		if (this.#losesConnection('late-commit')) {
			void this.#applyLate(keys);
			return undefined;
		}

		const isLost = this.#losesConnection('after-commit');
		const hidesPosition = this.#losesConnection('position');
		this.#apply(keys);
		const reply = this.#ok(true);
		if (isLost) {
			return undefined;
		}

		return hidesPosition ? Either.right(fakes.completion('a')) : reply;
	}

	/** Commits 200 ms later: the server completes a statement whose connection was lost. */
	async #applyLate(keys: readonly string[]): Promise<void> {
		await this.#servers[0]?.clock.sleep(200);
		this.#apply(keys);
	}

	#apply(keys: readonly string[]): void {
		if (!keys.some(key => this.records.has(key))) {
			this.committed++;
			for (const key of keys) {
				this.records.set(key, 'done');
			}
		}
	}

	#losesConnection(at: Loss): boolean {
		const isLost = this.loss === at;
		this.loss = isLost ? 'none' : this.loss;
		return isLost;
	}

	#ok(isCommit: boolean): errors.Outcome<types.Answer> {
		const last = {term: 1, index: this.#servers[0].state.last.index + (isCommit ? 1 : 0)};
		for (const server of this.#servers) {
			server.state = {...server.state, last};
		}

		return Either.right({...fakes.completion('a'), position: isCommit ? last : null});
	}
}

async function start(): Promise<{time: clock.Manual; ledger: Ledger; owned: service.Service; servers: readonly fakes.Server[]; stop: AbortController}> {
	const time = new clock.Manual();
	const servers = [new fakes.Server('a', time, 'primary'), new fakes.Server('b', time), new fakes.Server('c', time)];
	const ledger = new Ledger(servers);
	const settings = {
		connections: 16, slots: 2, user: '', password: '', server: {}, class: {},
	};
	const owned = new service.Service(new group.Group({
		name: 'ledgers', place: '', quota: 2, timing: {probeIntervalMs: 50, probeTimeoutMs: 500},
	}, servers, time), settings, new routing.Fresh(5));
	const stop = new AbortController();
	void owned.group.run(stop.signal);
	await time.advance(20);
	return {
		time, ledger, owned, servers, stop,
	};
}

function step(transaction: types.TransactionStep, sql: string, requestId = ''): types.Request {
	return fakes.request({
		transaction, sql, requestId, kind: 'write',
	});
}

test.test('guards against a lost COMMIT that is reported as not run although it ran, runs twice, or stays unknown', async () => {
	const losses = fc.constantFrom<Loss>('none', 'record', 'before-commit', 'after-commit', 'late-commit', 'position');
	await fc.assert(fc.asyncProperty(losses, fc.boolean(), fc.boolean(), async (loss, hasId, isRepeated) => {
		const {time, ledger, owned, stop} = await start();
		const run = async (): Promise<errors.Outcome<types.Answer>> => {
			await owned.execute(step('begin', 'BEGIN', hasId ? 'r1' : ''));
			await owned.execute(step('within', 'INSERT INTO ledger VALUES (1)'));
			return owned.execute(step('commit', 'COMMIT'));
		};

		ledger.loss = loss;
		const first = run();
		await time.advance(1500);
		const outcome = await first;
		assert.ok(Either.isRight(outcome) || outcome.left.kind === 'not-run', 'the outcome stayed unknown');
		assert.equal(ledger.committed, Either.isRight(outcome) ? 1 : 0);
		if (isRepeated && hasId) {
			const again = run();
			await time.advance(1500);
			const second = await again;
			assert.ok(Either.isRight(second) || second.left.kind === 'not-run');
			assert.equal(ledger.committed, Either.isRight(second) ? 1 : 0, 'a repeated transaction ran again, or is reported to have run');
		}

		assert.deepEqual([owned.transactions.size, owned.writes.inService, owned.group.load('a')], [0, 0, 0]);
		stop.abort();
	}), {seed: 20_266, numRuns: 40});
});

// Guards against a commit that no acknowledgement policy has confirmed, and that no later read of the session can require.
test.test('a commit whose reply carries no position gets one from its record, in a transaction and outside', async () => {
	const {time, ledger, owned, servers, stop} = await start();
	const run = async (): Promise<errors.Outcome<types.Answer>> => {
		await owned.execute(step('begin', 'BEGIN', 'r1'));
		await owned.execute(step('within', 'INSERT INTO ledger VALUES (1)'));
		return owned.execute(step('commit', 'COMMIT'));
	};

	for (const write of [run, async () => owned.execute(step('none', 'INSERT INTO ledger VALUES (1)', 'r2'))]) {
		ledger.loss = 'position';
		const outcome = write();
		await time.advance(1500);
		const answer = await outcome;
		assert.ok(Either.isRight(answer) && answer.right.kind === 'ok', JSON.stringify(answer));
		assert.deepEqual(answer.right.position, servers[0].state.last);
	}

	assert.equal(ledger.committed, 2);
	stop.abort();
});

test.test('guards against an idle transaction that keeps its connection, and against statements after its end', async () => {
	const {time, owned, stop} = await start();
	const begun = owned.execute(step('begin', 'BEGIN'));
	await time.advance(100);
	assert.ok(Either.isRight(await begun));
	await time.advance(9000);
	assert.equal(owned.transactions.size, 1);
	await time.advance(1100);
	assert.deepEqual([owned.transactions.size, owned.writes.inService, owned.group.load('a')], [0, 0, 0]);
	for (const outcome of [await owned.execute(step('within', 'INSERT')), await owned.execute(step('commit', 'COMMIT'))]) {
		assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'not-run');
	}

	stop.abort();
});

test.test('guards against statements that commit part of a transaction or leave one open on a pooled connection', async () => {
	const {time, owned, servers, stop} = await start();
	const begun = owned.execute(step('begin', 'BEGIN'));
	await time.advance(100);
	await begun;
	const outcome = owned.execute(step('within', '/* x */ CREATE TABLE t (id INT)'));
	await time.advance(100);
	assert.ok(Either.isLeft(await outcome));
	assert.deepEqual([owned.transactions.size, servers[0].executed], [0, ['BEGIN']]);
	assert.ok(['COMMIT AND CHAIN', 'USE other'].every(sql => Either.isLeft(statement.classify(sql))));
	stop.abort();
});

import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as deployment from '../../standin/deployment.js';
import * as caller from '../caller.js';

const schema = ['CREATE TABLE ledger (id INTEGER PRIMARY KEY, fund VARCHAR(64), cents INTEGER)'];
const classes = '[service.ledgers.class.balance]\nkind = read\nmaximumAgeMs = 60000\n';
const insert = 'INSERT INTO ledger (fund, cents) VALUES (?, ?)';
const count = 'SELECT count(*) AS entries FROM ledger';
const account = {user: 'secretary', password: 'secret'};

/** TCP relay to an entry host. While `isDroppingReplies` is set, it closes a connection instead of forwarding a reply. */
class Relay {
	isDroppingReplies = false;
	readonly #server: net.Server;

	constructor(port: number) {
		this.#server = net.createServer(client => {
			const upstream = net.connect(port, '127.0.0.1');
			client.on('data', data => upstream.write(data));
			upstream.on('data', data => this.isDroppingReplies ? client.destroy() : client.write(data));
			client.on('close', () => upstream.destroy());
			upstream.on('close', () => client.destroy());
			client.on('error', () => upstream.destroy());
			upstream.on('error', () => client.destroy());
		});
	}

	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
	}

	close(): void {
		this.#server.close();
	}
}

type Fixture = {site: deployment.Deployment; relay: Relay; session: caller.session.Session; hosts: string[]};

/** A host calls a failed store again after a random delay of up to 10 s by default, as long as a deployment waits for a host. */
const timing = 'storeReturnMs = 1000';

async function withSession(body: (fixture: Fixture) => Promise<void>, lagMs = 10): Promise<void> {
	const site = await deployment.Deployment.start({
		places: ['p-1', 'p-2', 'p-3'], hosts: ['p-2', 'p-3'], schema, classes, lagMs, timing,
	});
	const [first = 0, second = 0] = site.entries.map(({ports}) => ports.caller);
	const relay = new Relay(first);
	const hosts = [await relay.listen(), `127.0.0.1:${second}`];
	const session = new caller.session.Session({hosts, ...account, limitMs: 4000});
	try {
		await body({
			site, relay, session, hosts,
		});
	} finally {
		await session.end();
		relay.close();
		await site.stop();
	}
}

function failureOf(outcome: caller.failure.Outcome<unknown>): caller.failure.Failure {
	assert.ok(Either.isLeft(outcome), JSON.stringify(outcome));
	return outcome.left;
}

function entriesOf(outcome: caller.failure.Outcome<caller.session.Answer>): number {
	assert.ok(Either.isRight(outcome) && outcome.right.kind === 'rows', JSON.stringify(outcome));
	return Number(outcome.right.rows[0]?.entries);
}

test.test('a session reads its own write at another entry host after its host stops, even if it accepts stale data', async () => {
	await withSession(async ({site, session, hosts}) => {
		assert.ok(Either.isRight(await session.write(insert, {values: ['bus', 1250]})));
		const {position, host} = session;
		assert.match(position ?? '', /^1:\d+$/v);
		assert.equal(host, hosts[0]);
		await site.entries[0]?.host.stop();
		site.group.server('c').set({lagMs: 2000});
		assert.equal(entriesOf(await session.read(count, {class: 'balance'})), 1);
		assert.equal(session.host, hosts[1]);
		const other = new caller.session.Session({hosts: [hosts[1] ?? ''], ...account});
		assert.ok(Either.isRight(other.adopt(position)));
		assert.equal(entriesOf(await other.read(count, {class: 'balance'})), 1);
		await other.end();
	}, 300);
});

test.test('a write whose reply is lost runs once, and its result arrives through the next entry host', async () => {
	await withSession(async ({site, relay, session, hosts}) => {
		await session.read('SELECT 1');
		relay.isDroppingReplies = true;
		const outcome = await session.write(insert, {values: ['bus', 1250]});
		assert.deepEqual(outcome, Either.right({kind: 'ok', affectedRows: 1, insertId: 1}));
		assert.equal(session.host, hosts[1]);
		assert.equal(site.writes('a').length, 1);
	});
});

test.test('guards against a request id on an idempotent statement that no record covers, which entry hosts refuse', async () => {
	await withSession(async ({session}) => {
		const outcome = await session.write('CREATE TABLE IF NOT EXISTS extra (id INTEGER)', {isIdempotent: true});
		assert.ok(Either.isRight(outcome), JSON.stringify(outcome));
	});
});

test.test('a write that no idempotency record covers is not retried when its reply is lost', async () => {
	await withSession(async ({site, relay, session}) => {
		await session.read('SELECT 1');
		relay.isDroppingReplies = true;
		const failed = failureOf(await session.write('CREATE TABLE IF NOT EXISTS extra (id INTEGER)'));
		assert.deepEqual([failed.kind, failed.kind === 'outcome-unknown' && failed.requestId], ['outcome-unknown', '']);
		assert.equal(site.writes('a').length, 1);
	});
});

test.test('a write that is retried under the same request id returns the first result', async () => {
	await withSession(async ({site, session}) => {
		const first = await session.write(insert, {values: ['bus', 1250], requestId: 'r-1'});
		assert.deepEqual(await session.write(insert, {values: ['bus', 1250], requestId: 'r-1'}), first);
		assert.equal(site.writes('a').length, 1);
	});
});

test.test('a transaction reports not-run if its connection is lost before COMMIT, outcome-unknown if at COMMIT, and rolls back if its body fails', async () => {
	await withSession(async ({site, relay, session}) => {
		const lost = await session.transaction(async query => {
			relay.isDroppingReplies = true;
			await query(insert, ['bus', 1]);
			return query(insert, ['bus', 2]);
		});
		assert.equal(failureOf(lost).kind, 'not-run');
		const failed = await session.transaction(async query => {
			await query(insert, ['bus', 3]);
			return query('INSERT INTO nowhere VALUES (1)');
		});
		assert.equal(failureOf(failed).kind, 'database');
		assert.equal(site.writes('a').length, 0);
		assert.ok(Either.isRight(await session.transaction(async query => query(insert, ['bus', 4]))));
		assert.equal(entriesOf(await session.read(count)), 1);
	});
	await withSession(async ({relay, session}) => {
		const unknown = await session.transaction(async query => {
			const outcome = await query(insert, ['bus', 1]);
			relay.isDroppingReplies = true;
			return outcome;
		});
		assert.equal(failureOf(unknown).kind, 'outcome-unknown');
	});
});

test.test('each refusal has its own kind, and not-run is reported only for statements that did not run', async () => {
	await withSession(async ({session, hosts}) => {
		assert.equal(failureOf(await session.read('SELECT 1', {class: 'none'})).kind, 'directive');
		assert.equal(failureOf(await session.write('INSERT INTO nowhere VALUES (1)')).kind, 'database');
		const wrong = new caller.session.Session({hosts, ...account, password: 'x'});
		assert.equal(failureOf(await wrong.read('SELECT 1')).kind, 'denied');
		const nowhere = new caller.session.Session({hosts: ['127.0.0.1:1'], ...account, limitMs: 200});
		assert.equal(failureOf(await nowhere.write('DELETE FROM ledger')).kind, 'not-run');
	});
	// A database error may quote the statement, and its text must not be taken for a failure of the proxy.
	const imitation = {errno: 1062, sqlState: '23000', message: 'not-run: nothing (step send)'};
	assert.equal(caller.failure.read(imitation, '').kind, 'database');
});

test.test('a host without a configuration replies not-run, so that a session fails over to the next host', async () => {
	await withSession(async ({site, hosts}) => {
		site.platform.faults.isDown = true;
		// Without a configuration the host doesn't become ready, so this doesn't wait for it yet.
		const starting = site.addHost('entry-3', 'p-1');
		const entry = await new Promise<deployment.Entry>(resolve => {
			const poll = setInterval(() => {
				const found = site.entries[2];
				if (found) {
					clearInterval(poll);
					resolve(found);
				}
			}, 5);
		});
		const session = new caller.session.Session({hosts: [`127.0.0.1:${entry.ports.caller}`, hosts[1] ?? ''], ...account});
		assert.equal(entriesOf(await session.read(count)), 0);
		await session.end();
		site.platform.faults.isDown = false;
		await starting;
	});
});

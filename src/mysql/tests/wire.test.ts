import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as mysql from 'mysql2/promise';
import type * as errors from '../../core/errors.js';
import type * as types from '../../generated/types.js';
import * as client from '../client.js';
import * as server from '../server.js';

/** Replies to a query with the text of the query, and to `commit` with a position. */
class EchoHandler extends server.Handler<string> {
	override findAccount(user: string): errors.Outcome<{account: string; passwordHash: string}> {
		return Either.right({account: user, passwordHash: server.hashPassword('secret')});
	}

	override async serve(connection: server.Connection): Promise<void> {
		for (let command = await connection.next(); command; command = await connection.next()) {
			connection.reply(command.kind === 'query' ? answer(command.sql) : answer('commit'));
		}
	}
}

function answer(sql: string): types.Answer {
	if (sql === 'commit') {
		return {
			kind: 'ok', affectedRows: 300, insertId: 70_000, position: {term: 3, index: 120}, server: '',
		};
	}

	return {
		kind: 'rows',
		columns: [{
			name: 'text', columnType: 253, characterSet: 45, columnLength: 1024, flags: 0, decimals: 0,
		}],
		rows: [[sql], [null]],
		server: '',
	};
}

async function listen(): Promise<{port: number; close: () => void}> {
	const listener = new server.Server(new EchoHandler(), '8.0.0-test');
	const port = await listener.listen('127.0.0.1', 0);
	return {
		port, close() {
			listener.close();
		},
	};
}

test.test('a stock client reads many replies without out-of-order packets', async context => {
	const {port, close} = await listen();
	const errorLog = context.mock.method(console, 'error', () => undefined);
	const connection = await mysql.createConnection({
		host: '127.0.0.1', port, user: 'u', password: 'secret',
	});
	for (let index = 0; index < 300; index++) {
		const [rows] = await connection.query(`SELECT ${index}`);
		assert.deepEqual(rows, [{text: `SELECT ${index}`}, {text: null}]);
	}

	await connection.end();
	close();
	assert.equal(errorLog.mock.callCount(), 0);
});

test.test('a serial query does not wait for a delayed acknowledgement', async () => {
	const {port, close} = await listen();
	const connection = await mysql.createConnection({
		host: '127.0.0.1', port, user: 'u', password: 'secret',
	});
	const started = performance.now();
	for (let index = 0; index < 20; index++) {
		await connection.query('SELECT 1');
	}

	// With Nagle's algorithm on the accepted stream, 20 queries took about 880 ms.
	assert.ok(performance.now() - started < 400);
	await connection.end();
	close();
});

test.test('an OK packet carries the commit position to the client', async () => {
	const {port, close} = await listen();
	const target = new client.Server({
		name: 'a', place: '', host: '127.0.0.1', port, user: 'u', password: 'secret',
	});
	const connection = await target.connect(1000);
	assert.ok(Either.isRight(connection));
	assert.deepEqual(await connection.right.execute('commit', 1000), Either.right({
		kind: 'ok', affectedRows: 300, insertId: 70_000, position: {term: 3, index: 120}, server: 'a',
	}));
	connection.right.close();
	close();
});

test.test('a wrong password is refused before any statement', async () => {
	const {port, close} = await listen();
	const attempt = mysql.createConnection({
		host: '127.0.0.1', port, user: 'u', password: 'wrong',
	});
	await assert.rejects(attempt, /denied: access denied for user "u"/v);
	close();
});

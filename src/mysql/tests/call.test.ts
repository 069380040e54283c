import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type * as mysql from 'mysql2';
import * as client from '../client.js';

const status = {
	server: 'a', role: 'primary', term: 1, claimant: '', last: {term: 1, index: 2}, history: [{term: 1, start: 1}], following: '', connections: 1, connectionLimit: 16, leaving: false,
};
const field = {
	name: 'status', columnType: 253, characterSet: 45, columnLength: 1024, flags: 0, decimals: 0,
};

/** Fake mysql2 connection that returns the result of a stored procedure. */
class FakeConnection extends events.EventEmitter {
	query(_options: unknown, done: (error: undefined, content: unknown, fields: unknown) => void): void {
		done(undefined, [[[JSON.stringify(status)]], {affectedRows: 0, insertId: 0}], [[field], undefined]);
	}

	destroy(): void {
		this.removeAllListeners();
	}
}

test.test('a status is read from a procedure that returns a result set and an OK packet', async () => {
	const connection = new client.Connection('a', new FakeConnection() as unknown as mysql.Connection);
	assert.deepEqual(await connection.status(1000), Either.right(status));
});

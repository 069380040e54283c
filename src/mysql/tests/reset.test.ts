import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as deployment from '../../standin/deployment.js';
import * as group from '../../standin/group.js';
import * as client from '../client.js';

const schema = ['CREATE TABLE ledger (id INTEGER PRIMARY KEY, fund VARCHAR(64))'];

test.test('a reset rolls back the open transaction and releases its locks', async () => {
	const servers = await group.Group.start({places: ['puget-a'], schema});
	const target = new client.Server({
		name: 'a', place: '', host: '127.0.0.1', port: servers.server('a').port, user: 'u', password: '',
	});
	const [first, second] = [await target.connect(1000), await target.connect(1000)];
	assert.ok(Either.isRight(first) && Either.isRight(second));
	await first.right.execute('BEGIN', 1000);
	assert.ok(Either.isRight(await first.right.execute('INSERT INTO ledger (fund) VALUES (\'bus\')', 1000)));
	assert.ok(Either.isRight(await first.right.reset(1000)));
	assert.ok(Either.isRight(await second.right.execute('INSERT INTO ledger (fund) VALUES (\'food\')', 1000)));
	assert.deepEqual(servers.server('a').entries.flatMap(({writes}) => writes).filter(sql => sql.includes('bus')), []);
	first.right.close();
	second.right.close();
	servers.stop();
});

test.test('a transaction that is retried under the same request id through an entry host runs once', async () => {
	const site = await deployment.Deployment.start({places: ['puget-a', 'willamette-a', 'inland-a'], hosts: ['puget-a'], schema});
	const caller = await site.connect(0);
	for (let run = 0; run < 2; run++) {
		await caller.query('BEGIN');
		await caller.query('INSERT INTO ledger (fund) VALUES (\'bus\')');
		await caller.query('/* sycamorering request=r7 */ COMMIT');
	}

	assert.equal(site.writes('a').length, 1);
	await caller.end();
	await site.stop();
});

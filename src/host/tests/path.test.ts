import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as deployment from '../../standin/deployment.js';

const schema = ['CREATE TABLE ledger (id INTEGER PRIMARY KEY, fund VARCHAR(64), cents INTEGER)'];

test.test('a write through one entry host is read through another, and its repetition runs once (guards against stale reads and repeated writes)', async () => {
	const site = await deployment.Deployment.start({
		places: ['puget-a', 'willamette-a', 'inland-a'], hosts: ['puget-a', 'willamette-a'], schema, lagMs: 20,
	});
	const [first, second] = [await site.connect(0), await site.connect(1)];
	const insert = '/* sycamorering request=r1 */ INSERT INTO ledger (fund, cents) VALUES (\'bus\', 1250)';
	await first.query(insert);
	const [rows] = await second.query('SELECT fund, cents FROM ledger');
	assert.deepEqual(rows, [{fund: 'bus', cents: '1250'}]);
	await second.query(insert);
	assert.equal(site.writes('a').length, 1);
	const metrics = await fetch(`http://127.0.0.1:${site.entries[1]?.ports.http ?? 0}/metrics`);
	assert.match(await metrics.text(), /sycamorering_reads\{service="ledgers",kind="replica"\} \d/v);
	await Promise.all([first.end(), second.end()]);
	await site.stop();
});

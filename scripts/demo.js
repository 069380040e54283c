/**
Starts a small deployment as separate processes: the platform stand-in, a group of three backend-server stand-ins and
two entry hosts. It then runs statements through both entry hosts with an unmodified MySQL client and leaves the
deployment running until Ctrl-C. With `--once` it stops the deployment after the statements.
*/
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import * as mysql from 'mysql2/promise';

const root = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');
const schema = 'CREATE TABLE ledger (id INTEGER PRIMARY KEY, fund VARCHAR(64), cents INTEGER)';
const servers = [['a', 7101], ['b', 7102], ['c', 7103]];
const readyTimeoutMs = 15_000;
const children = [];

function start(...parameters) {
	const child = childProcess.spawn(process.execPath, ['dist/cli/main.js', ...parameters], {cwd: root, stdio: ['ignore', 'inherit', 'inherit']});
	children.push(child);
}

function stop() {
	for (const child of children) {
		child.kill('SIGTERM');
	}
}

async function waitUntilReady(port) {
	const end = Date.now() + readyTimeoutMs;
	while (Date.now() < end) {
		try {
			const response = await fetch(`http://127.0.0.1:${port}/ready`);
			if (response.ok) {
				return;
			}
		} catch {
			// The entry host doesn't listen yet.
		}

		await timers.setTimeout(100);
	}

	throw new Error(`the entry host with HTTP port ${port} did not become ready within ${readyTimeoutMs} ms`);
}

async function show(connection, name, sql) {
	const [result] = await connection.query(sql);
	console.log(`${name}> ${sql}\n${JSON.stringify(result)}`);
}

async function tryStatements() {
	const account = {host: '127.0.0.1', user: 'secretary', password: 'secret'};
	const first = await mysql.createConnection({...account, port: 7201});
	const second = await mysql.createConnection({...account, port: 7202});
	const insert = '/* sycamorering class=reimbursement request=demo-1 */ INSERT INTO ledger (fund, cents) VALUES (\'bus\', 1250)';
	await show(first, 'entry-1', insert);
	await show(second, 'entry-2', 'SELECT fund, cents FROM ledger');
	await show(second, 'entry-2', insert);
	await show(second, 'entry-2', '/* sycamorering class=balance age=2s */ SELECT count(*) AS entries, sum(cents) AS cents FROM ledger');
	await show(first, 'entry-1', 'SELECT @@sycamorering_position');
	await first.end();
	await second.end();
}

process.once('SIGINT', stop);
process.once('SIGTERM', stop);
start('standin', 'platform', '--listen', '127.0.0.1:7000', '--configuration', 'examples/site.ini');
for (const [name, port] of servers) {
	const peers = servers.filter(([other]) => other !== name).flatMap(([other, otherPort]) => ['--peer', `${other}=127.0.0.1:${otherPort}`]);
	start('standin', 'server', '--name', name, '--primary', 'a', '--listen', `127.0.0.1:${port}`, '--schema', schema, ...peers);
}

start('host', '--settings', 'examples/entry-1.ini');
start('host', '--settings', 'examples/entry-2.ini');
try {
	await Promise.all([7401, 7402].map(async port => waitUntilReady(port)));
	await tryStatements();
} catch (error) {
	console.error(error);
	process.exitCode = 1;
	stop();
}

if (process.argv.includes('--once')) {
	stop();
} else if (process.exitCode === undefined) {
	console.log('The entry hosts accept connections on ports 7201 and 7202 (user secretary, password secret). Press Ctrl-C to stop the deployment.');
}

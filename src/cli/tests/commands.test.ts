import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as test from 'node:test';
import * as url from 'node:url';
import * as deployment from '../../standin/deployment.js';
import * as platform from '../../standin/platform.js';

const main = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..', 'main.js');
const valid = '[service.ledgers.server.a]\naddress = 127.0.0.1:7101\nplace = p\n[account.u]\nservice = ledgers\ntenant = t\npasswordHash = 14e65567abdb5135d0cfd9a70b3032c179a49ee7\n';

type Result = {code: number; output: string; errors: string};

async function run(...args: string[]): Promise<Result> {
	return new Promise(resolve => {
		childProcess.execFile(process.execPath, [main, ...args], {timeout: 20_000}, (error, output, errors) => {
			resolve({code: error ? Number(error.code ?? -1) : 0, output, errors});
		});
	});
}

async function codeOf(...args: string[]): Promise<number> {
	const {code} = await run(...args);
	return code;
}

async function outputOf(...args: string[]): Promise<string> {
	const {output} = await run(...args);
	return output;
}

async function errorsOf(...args: string[]): Promise<string> {
	const {errors} = await run(...args);
	return errors;
}

async function withFixture(body: (fixture: {file: string; bad: string; url: string; standin: platform.Platform}) => Promise<void>): Promise<void> {
	const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'sycamorering-'));
	const standin = new platform.Platform();
	const [file, bad] = [path.join(directory, 'site.ini'), path.join(directory, 'bad.ini')];
	try {
		await fs.writeFile(file, valid);
		await fs.writeFile(bad, valid.replace('place = p', 'plaze = p'));
		await body({
			file, bad, url: await standin.start('127.0.0.1', 0), standin,
		});
	} finally {
		standin.stop();
		await fs.rm(directory, {recursive: true});
	}
}

test.test('check exits with 0 for a valid file and with 2 for an invalid or unreadable file or wrong usage', async () => {
	await withFixture(async ({file, bad}) => {
		const codes = [['check', file], ['check', bad], ['check', `${file}.none`], ['check'], ['chekc', file], ['check', '--settings', file]]
			.map(async parameters => codeOf(...parameters));
		assert.deepEqual(await Promise.all(codes), [0, 2, 2, 2, 2, 2]);
		assert.match(await errorsOf('check', bad), /bad\.ini:3: \[service\.ledgers\.server\.a\] plaze is not known/v);
		const {failure} = JSON.parse(await outputOf('check', bad, '--json')) as {failure: {kind: string}};
		assert.equal(failure.kind, 'settings');
	});
});

test.test('show and diff reflect an applied configuration, and a conflicting apply exits with 3', async () => {
	await withFixture(async ({file, bad, url: base}) => {
		const target = ['--platform', base];
		assert.equal(await outputOf('show', '--version-only', ...target), '0\n');
		assert.match(await outputOf('diff', file, ...target), /\+ \[account\.u\] passwordHash: \(hidden\)/v);
		assert.equal(await codeOf('apply', bad, '--expect', '0', ...target), 2);
		assert.deepEqual(await run('apply', file, '--expect', '0', ...target), {code: 0, output: 'version 1 is applied\n', errors: ''});
		const second = await run('apply', file, '--expect', '0', ...target);
		assert.deepEqual([second.code, second.errors.includes('version 1 is present')], [3, true]);
		assert.equal(await outputOf('show', ...target), valid);
		assert.deepEqual(JSON.parse(await outputOf('diff', file, '--json', ...target)), {version: 1, changes: []});
		for (const wrong of [['apply', file, ...target], ['apply', file, '--expect', 'x', ...target], ['show', '--platform', 'nowhere']]) {
			const {code, errors} = await run(...wrong);
			assert.deepEqual([code, errors.includes('    at ')], [2, false], errors);
		}
	});
});

test.test('during an outage of the store, every command that needs it exits with 1 and prints one line', async () => {
	await withFixture(async ({file, url: base, standin}) => {
		standin.faults.isDown = true;
		for (const parameters of [['show'], ['diff', file], ['apply', file, '--expect', '0']]) {
			const {code, errors} = await run(...parameters, '--platform', base);
			assert.equal(code, 1);
			assert.match(errors, /^store: the platform's store gave no answer[^\n]*\n$/v);
		}
	});
});

test.test('status and load exit with 0 for a running host and with 1 for a stopped one', async () => {
	const site = await deployment.Deployment.start({places: ['p-1', 'p-2', 'p-3'], hosts: ['p-1'], schema: ['CREATE TABLE t (n INTEGER)']});
	const {caller = 0, http = 0} = site.entries[0]?.ports ?? {};
	try {
		assert.equal(await codeOf('status', `127.0.0.1:${http}`), 0);
		const withStopped = await run('status', '--json', `127.0.0.1:${http}`, '127.0.0.1:1');
		assert.equal(withStopped.code, 1);
		assert.deepEqual((JSON.parse(withStopped.output) as Array<{isReachable: boolean}>).map(({isReachable}) => isReachable), [true, false]);
		const options = ['--user', 'secretary', '--password', 'secret', '--connections', '2', '--seconds', '0.5', '--json'];
		const loaded = await run('load', `127.0.0.1:${caller}`, ...options, '--write', 'INSERT INTO t VALUES (1)', '--write-share', '0.2');
		const report = JSON.parse(loaded.output) as Record<'reads' | 'writes', {statements: number; failures: unknown}>;
		assert.ok(loaded.code === 0 && report.reads.statements > 0 && report.writes.statements > 0, loaded.output);
		// If the report counted writes that the server did not run, all its figures would be wrong.
		assert.equal(site.writes('a').length, report.writes.statements);
		assert.deepEqual([report.reads.failures, report.writes.failures], [{}, {}]);
		assert.equal(await codeOf('load', '127.0.0.1:1', ...options), 1);
		assert.equal(await codeOf('load', '127.0.0.1:1', ...options, '--age', '2 days'), 2);
	} finally {
		await site.stop();
	}
});

test.test('drain terminates only the given process', async () => {
	const child = childProcess.spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)']);
	assert.deepEqual(await run('drain', '--pid', String(child.pid)), {code: 0, output: `process ${child.pid} has ended\n`, errors: ''});
	assert.equal(child.signalCode, 'SIGTERM');
	assert.equal(await codeOf('drain', '--pid', String(child.pid)), 1);
	for (const pid of ['0', '1', '-1', 'x']) {
		assert.equal(await codeOf('drain', `--pid=${pid}`), 2);
	}
});

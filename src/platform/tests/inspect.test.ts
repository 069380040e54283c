import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as test from 'node:test';
import * as url from 'node:url';

const main = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..', '..', 'cli', 'main.js');
const key = 'rth5mgjy5rcpihhacrud';

type Result = {readonly code: number; readonly output: string};

async function inspect(...args: string[]): Promise<Result> {
	return new Promise(resolve => {
		childProcess.execFile(process.execPath, [main, 'inspect', ...args], {timeout: 20_000}, (error, output) => {
			resolve({code: error ? Number(error.code ?? -1) : 0, output});
		});
	});
}

function format(version: number, burstSize: number): string {
	return JSON.stringify({
		version,
		routes: [{
			name: 'r1', databaseName: 'ledger', type: 'primary', timeoutMs: 800, targetLatencyMs: 300, service: 'core',
		}],
		services: [{name: 'core', maxConnections: 16, syncReplicas: 1}],
		tenants: [{
			name: 'north', apiKeys: [key], perS: 10, burstSize,
		}],
	});
}

// Guards against an exit code that lets a script send a broken configuration, and against keys in the output.
test.test('exit codes tell sound, broken and unreadable configurations apart, and no key is printed', async context => {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'sycamorering-inspect-'));
	context.after(async () => fs.rm(folder, {recursive: true}));
	const write = async (name: string, text: string): Promise<string> => {
		const file = path.join(folder, name);
		await fs.writeFile(file, text);
		return file;
	};

	const current = await write('main.json', format(1, 10));
	const sound = await inspect(await write('next.json', format(2, 20)), '--current', current, '--json');
	assert.equal(sound.code, 0);
	assert.match(sound.output, /"entry":"customer north","fields":\["burst: 10 -> 20"\]/v);
	const broken = await inspect(await write('broken.json', format(1, 0.5)), '--current', current);
	assert.equal(broken.code, 1);
	const unreadable = await inspect(await write('text.json', '{'));
	assert.equal(unreadable.code, 2);
	assert.ok(![sound.output, broken.output].some(text => text.includes(key)));
});

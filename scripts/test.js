/**
Runs the tests of the compiled code. A test may fail if `KNOWN-RED.txt` has a line `test: NAME` with its name or the
beginning of it; such failures are printed. Any other failure gives exit code 1.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';

const root = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..');
const knownFailures = fs.readFileSync(path.join(root, 'KNOWN-RED.txt'), 'utf8').split('\n')
	.filter(line => line.startsWith('test: '))
	.map(line => line.slice('test: '.length).trim());

/** Time after which a test or a file of tests is ended, in ms. The longest file takes a fifth of it on an idle machine. */
const testTimeoutMs = 600_000;

/** Folder of the tests that measure memory, which run one at a time after all others. */
const separateFolder = path.join('dist', 'intake', 'tests');

const files = fs.readdirSync(path.join(root, 'dist'), {recursive: true})
	.filter(file => file.endsWith('.test.js'))
	.map(file => path.join('dist', file))
	.toSorted();
const separateFiles = files.filter(file => path.dirname(file) === separateFolder);
const results = [await run(files.filter(file => !separateFiles.includes(file)), 4)];
if (separateFiles.length > 0) {
	results.push(await run(separateFiles, 1));
}

const failed = results.flatMap(result => result.failed);
const unexpected = failed.filter(name => !knownFailures.some(prefix => name.startsWith(prefix)));
for (const name of failed.filter(other => !unexpected.includes(other))) {
	console.log(`known failure, ignored: ${name}`);
}

// A non-zero exit code without a failed test means that the runner itself failed.
process.exitCode = unexpected.length > 0 || results.some(({code, failed: names}) => code !== 0 && names.length === 0) ? 1 : 0;

/** Runs test files, up to `concurrency` at a time. Returns the exit code and the names of the tests that failed. */
async function run(testFiles, concurrency) {
	const options = ['--test', '--test-reporter=tap', `--test-concurrency=${concurrency}`, `--test-timeout=${testTimeoutMs}`];
	const runner = childProcess.spawn(process.execPath, [...options, ...testFiles], {cwd: root, stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	runner.stdout.on('data', chunk => {
		output += chunk;
		process.stdout.write(chunk);
	});
	const code = await new Promise(resolve => {
		runner.on('close', resolve);
	});
	return {code, failed: [...output.matchAll(/^not ok \d+ - (?<name>.*)$/gmv)].map(({groups}) => groups.name)};
}

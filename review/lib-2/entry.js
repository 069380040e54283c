/**
Starts entry hosts with the command of `deploy/system.toml` and the template `deploy/entry.ini`, filled in with the
figures of a small deployment.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import {regionOf} from './group.js';

const root = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..', '..');

/** The figures of the small deployment that the claims name. */
const figures = {
	'bounds.graceS': 6, 'bounds.configApplyMs': 3000, 'limits.cpuShare': 0.675, 'limits.cores': 1, 'limits.memoryMb': 350, 'limits.maxFds': 4300,
};

const portRange = {lowest: 15_000, highest: 31_000};

/** Prepares one host: its addresses, and its settings file in `folder`. */
export async function prepare({name, zone, folder, store, seeds = ''}) {
	const ports = await freePorts(4);
	const [front, control, ready, metrics] = ports.map(port => `127.0.0.1:${port}`);
	const fields = {
		...figures, nodeName: name, zone, region: regionOf(zone), 'listenAddrs.front': front, 'listenAddrs.control': control, 'listenAddrs.ready': ready,
		'platform.address': store, 'cloud.address': store, seeds,
	};
	const template = await fs.readFile(path.join(root, 'deploy', 'entry.ini'), 'utf8');
	const text = template
		.replace(/\{\{#bounds\.quotaWindowS\}\}[\s\S]*\{\{\/bounds\.quotaWindowS\}\}/v, '')
		.replace('{{ip}}:9464', metrics)
		.replaceAll(/\{\{(?<field>[\w.]+)\}\}/gv, (_match, field) => String(fields[field]));
	const file = path.join(folder, `${name}.ini`);
	await fs.writeFile(file, text);
	return {
		name, front, control, ready, metrics, file, child: undefined, ends: [], output: '',
	};
}

/** Starts the process of a host and notes how it ends. */
export async function start(host) {
	const deploy = await fs.readFile(path.join(root, 'deploy', 'system.toml'), 'utf8');
	const [program, ...words] = /^run = "(?<command>.*)"$/mv.exec(deploy).groups.command.split(' ');
	const child = childProcess.spawn(program, words, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, SYCAMORERING_SETTINGS: host.file}, stdio: ['ignore', 'pipe', 'pipe']});
	host.child = child;
	const keep = chunk => {
		host.output = (host.output + chunk).slice(-20_000);
	};

	child.stdout.on('data', keep);
	child.stderr.on('data', keep);
	child.on('exit', (code, signal) => {
		host.ends.push({code, signal});
	});
}

/** Resident memory of a host's process in MiB, and its peak; 0 after its end. */
export async function memory({child}) {
	try {
		const status = await fs.readFile(`/proc/${child.pid}/status`, 'utf8');
		const read = field => Math.round(Number(new RegExp(String.raw`${field}:\s+(\d+)`, 'v').exec(status)[1]) / 1024);
		return {now: read('VmRSS'), peak: read('VmHWM')};
	} catch {
		return {now: 0, peak: 0};
	}
}

export async function stop({child, ends}) {
	if (child && ends.length === 0) {
		child.kill('SIGKILL');
		await new Promise(resolve => {
			child.once('exit', resolve);
		});
	}
}

/** Finds free ports below those that the system gives to outgoing connections, so that none is taken before a host listens. */
async function freePorts(count) {
	const ports = new Set();
	while (ports.size < count) {
		const port = portRange.lowest + Math.floor(Math.random() * (portRange.highest - portRange.lowest));
		if (await isFree(port)) {
			ports.add(port);
		}
	}

	return [...ports];
}

async function isFree(port) {
	const server = net.createServer();
	const isListening = await new Promise(resolve => {
		server.once('error', () => resolve(false));
		server.listen(port, '127.0.0.1', () => resolve(true));
	});
	server.close();
	return isListening;
}

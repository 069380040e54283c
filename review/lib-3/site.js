/**
A small deployment: the store, services and entry hosts, which are processes of the product started as the deploy file says.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import {exchanges} from './client.js';
import {Group} from './group.js';
import {Store} from './store.js';

const root = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '..', '..');
const standInHost = '127.0.0.1';

/** Values of the settings like those of the smaller deployments on the sheets. */
const defaults = {
	limits: {
		cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4300,
	},
	bounds: {
		graceS: 6, configApplyMs: 3000,
	},
};

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

export class Site {
	store = new Store();
	groups = [];
	hosts = [];
	#folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#record;
	#startedAt = performance.now();
	#version = 1;
	#seeds;
	#network = `127.${1 + (process.pid % 250)}.${1 + (Math.floor(process.pid / 250) % 250)}`;

	constructor(recordFile) {
		this.#record = recordFile;
		fs.writeFileSync(recordFile, '');
		this.store.promote = (service, id, fence) => {
			this.note(`promotion of ${id} in ${service} with fence ${fence}`);
			return this.groups.find(({name}) => name === service)?.promote(id) ?? false;
		};
	}

	/** Writes a line to the record. */
	note(text) {
		fs.appendFileSync(this.#record, `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} s ${text}\n`);
	}

	/** Writes to the record what clients sent and were answered, and what servers ran. */
	noteAll() {
		const seconds = at => at === undefined ? 'never' : `${((at - this.#startedAt) / 1000).toFixed(3)} s`;
		const texts = exchanges.map(({at, sent, bytes, answeredAt, answer}) => `sent at ${seconds(at)}: ${sent} (${bytes} bytes); answered at ${seconds(answeredAt)}: ${answer ?? '-'}`);
		for (const {runs} of this.groups) {
			texts.push(...runs.map(({at, id, text, server, position}) => `run at ${seconds(at)} by ${server} (${position}): ${id.slice(0, 40)} ${text.slice(0, 40)}`));
		}

		fs.appendFileSync(this.#record, `${texts.join('\n')}\n`);
	}

	async addGroup(name, zones, options = {}) {
		const group = new Group(name, zones, {store: this.store, ...options});
		await group.start(standInHost);
		this.groups.push(group);
		return group;
	}

	/** Writes a version of the configuration for the operator. */
	configure(routes, extra = {}) {
		this.#version++;
		this.store.put('config', 'main', {
			version: this.#version,
			routes: routes.map(route => ({
				name: `r-${route.databaseName}`, timeoutMs: 1000, targetLatencyMs: 500, priority: 1, ...route,
			})),
			services: this.groups.map(({name, maxConnections}) => ({name, maxConnections, syncReplicas: 1})),
			limits: {txIdleMs: 3000},
			...extra,
		});
		this.note(`configuration ${this.#version} acknowledged: ${routes.map(({databaseName, service, type}) => `${databaseName} -> ${service} (${type})`).join(', ')}`);
		return this.#version;
	}

	/** Starts an entry host and waits until it is ready. */
	async addHost(zone, {limits = {}, bounds = {}} = {}) {
		const index = this.hosts.length + 1;
		const ip = `${this.#network}.${index}`;
		const address = await this.store.listen(standInHost, `front-${index}`);
		const fields = {
			nodeName: `front-${index}`,
			zone,
			region: 'puget',
			ip,
			listenAddrs: {front: await findAddress(ip), ready: await findAddress(ip), control: await findAddress(ip)},
			platform: {address},
			cloud: {address},
			limits: {...defaults.limits, ...limits},
			bounds: {...defaults.bounds, ...bounds},
		};
		this.#seeds ??= fields.listenAddrs.control;
		fields.seeds = this.#seeds;
		const file = path.join(this.#folder, `front-${index}.ini`);
		fs.writeFileSync(file, render(fs.readFileSync(path.join(root, 'deploy', 'entry.ini'), 'utf8'), fields));
		const host = {
			name: `front-${index}`, address: fields.listenAddrs.front, ready: fields.listenAddrs.ready, file, log: path.join(this.#folder, `front-${index}.log`), child: undefined, exit: undefined,
		};
		this.hosts.push(host);
		this.startProcess(host);
		await this.awaitReady(host);
		return host;
	}

	/** Starts the process of a host with the command of the deploy file. */
	startProcess(host) {
		const [command, ...parameters] = readCommand();
		const output = fs.openSync(host.log, 'a');
		host.exit = undefined;
		host.child = childProcess.spawn(command, parameters, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, SYCAMORERING_SETTINGS: host.file}, stdio: ['ignore', output, output],
		});
		fs.closeSync(output);
		const {child} = host;
		child.on('exit', (code, signal) => {
			if (host.child === child) {
				host.exit = {code, signal};
			}

			this.note(`${host.name} ended: code ${code}, signal ${signal}`);
		});
		this.note(`${host.name} started`);
	}

	async awaitReady(host, timeoutMs = 15_000) {
		const endAt = performance.now() + timeoutMs;
		while (performance.now() < endAt && !host.exit) {
			if (await isReady(host)) {
				this.note(`${host.name} is ready`);
				return;
			}

			await sleep(50);
		}

		throw new Error(`${host.name} is not ready`);
	}

	/** Resident memory of a host's process in MB, now and at its peak. */
	memory(host) {
		try {
			const text = fs.readFileSync(`/proc/${host.child.pid}/status`, 'utf8');
			const read = name => Math.round(Number(new RegExp(`${name}:\\s+(\\d+)`, 'v').exec(text)?.[1] ?? 0) / 1024);
			return {nowMb: read('VmRSS'), peakMb: read('VmHWM'), anonymousMb: read('RssAnon')};
		} catch {
			return {nowMb: 0, peakMb: 0, anonymousMb: 0};
		}
	}

	/** The line with which a process that ended by itself told why. */
	readFatal({log}) {
		return fs.readFileSync(log, 'latin1').split('\n').find(text => text.startsWith('FATAL')) ?? 'no reason was written';
	}

	/** Ends everything that was started. */
	async stop() {
		for (const host of this.hosts) {
			host.child?.kill('SIGCONT');
			host.child?.kill('SIGKILL');
		}

		for (const group of this.groups) {
			group.close();
		}

		this.store.close();
		await sleep(100);
		if (process.env.KEEP_LOGS) {
			console.log(this.#folder);
		} else {
			fs.rmSync(this.#folder, {recursive: true});
		}
	}
}

/** Runs a case: exits with 1 if it returns true (the rule was broken), 0 if it held, 2 if it couldn't run. */
export async function run(recordFile, body) {
	const site = new Site(recordFile);
	let code = 2;
	const limit = setTimeout(async () => {
		site.note('the case took too long');
		site.noteAll();
		await site.stop();
		process.exit(2); // eslint-disable-line unicorn/no-process-exit
	}, 110_000);
	try {
		code = await body(site) ? 1 : 0;
		site.noteAll();
		site.note(code === 1 ? 'result: the rule was broken' : 'result: the rule held');
	} catch (error) {
		site.note(`the case couldn't run: ${error.stack}`);
		console.error(error);
	}

	clearTimeout(limit);
	await site.stop();
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

/** The command of the role in the deploy file. */
function readCommand() {
	const text = fs.readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
	return /^run = "(?<command>.+)"$/mv.exec(text).groups.command.split(' ');
}

/** An address with a free port. */
async function findAddress(ip) {
	return new Promise((resolve, reject) => {
		const server = net.createServer();
		server.once('error', reject);
		server.listen(0, ip, () => {
			const {port} = server.address();
			server.close(() => {
				resolve(`${ip}:${port}`);
			});
		});
	});
}

async function isReady({ready}) {
	return new Promise(resolve => {
		const request = http.get(`http://${ready}/readiness`, {agent: false, timeout: 500}, response => {
			response.resume();
			resolve(response.statusCode === 200);
		});
		request.on('error', () => {
			resolve(false);
		});
	});
}

/** Fills in a template as DEPLOY.md describes: values, and sections that appear if there is a value. */
function render(template, fields) {
	const find = name => {
		let value = fields;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return value;
	};

	return template
		.replaceAll(/\{\{#(?<name>[\w.]+)\}\}\n?(?<body>[\s\S]*?)\{\{\/\k<name>\}\}\n?/gv, (_match, name, body) => find(name) === undefined ? '' : body)
		.replaceAll(/\{\{(?<name>[\w.]+)\}\}/gv, (_match, name) => String(find(name) ?? ''));
}

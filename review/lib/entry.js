/**
Entry hosts as separate processes, started with the command of the deploy file and the filled-in template.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as path from 'node:path';
import process from 'node:process';
import * as clock from './clock.js';

const root = path.join(import.meta.dirname, '..', '..');
const deployment = fs.readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
const [program, ...parameters] = /^run = "(?<command>.*)"$/mv.exec(deployment).groups.command.split(' ');
const template = fs.readFileSync(path.join(root, 'deploy', 'entry.ini'), 'utf8');

/** Delay after which the platform starts an ended process again. */
const restartMs = 500;

/** An entry host. */
export class Entry {
	name;
	front = '';
	child;
	/** Whether the platform starts the process again when it has ended. */
	isRestarted = true;
	/** Ends of the process: code, signal and time. */
	exits = [];
	#record;
	#ready = '';
	#settings;

	constructor(name, record) {
		this.name = name;
		this.#record = record;
	}

	/** Writes the settings and starts the process. `fields` are those of the page on deployment. */
	async start(folder, {zone, bounds, platform, cloud, seeds}) {
		const ip = `127.${10 + (process.pid % 200)}.${Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`;
		const [front, ready, control] = await Promise.all([freePort(ip), freePort(ip), freePort(ip)]);
		this.front = `${ip}:${front}`;
		this.#ready = `${ip}:${ready}`;
		this.control = `${ip}:${control}`;
		const fields = {
			nodeName: this.name,
			ip,
			zone,
			region: zone,
			listenAddrs: {front: this.front, ready: this.#ready, control: this.control},
			seeds: seeds.join(','),
			limits: {
				cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4300,
			},
			bounds,
			platform: {address: platform},
			cloud: {address: cloud},
		};
		const text = template.replaceAll(/\{\{(?<key>[a-zA-Z.]+)\}\}/gv, (_match, key) => String(find(fields, key)));
		this.#settings = path.join(folder, `${this.name}.ini`);
		fs.writeFileSync(this.#settings, text);
		this.log = path.join(folder, `${this.name}.log`);
		this.spawn();
	}

	/** Starts the process, and again 500 ms after each end while `isRestarted` holds. */
	spawn() {
		const output = fs.openSync(this.log, 'a');
		this.child = childProcess.spawn(program === 'node' ? process.execPath : program, parameters, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, SYCAMORERING_SETTINGS: this.#settings}, stdio: ['ignore', output, output],
		});
		fs.closeSync(output);
		this.#record.write(`entry ${this.name}: process started`);
		this.child.on('exit', (code, signal) => {
			this.exits.push({code, signal, at: clock.now()});
			this.#record.tell(`entry ${this.name}: process ended, code ${code}, signal ${signal}`);
			setTimeout(() => {
				if (this.isRestarted) {
					this.spawn();
				}
			}, restartMs);
		});
	}

	signal(name) {
		this.#record.tell(`entry ${this.name}: ${name}`);
		this.child.kill(name);
	}

	/** Whether the host reports itself ready. */
	async isReady() {
		return new Promise(resolve => {
			const [host, port] = this.#ready.split(':');
			const request = http.get({
				host, port, path: '/readiness', timeout: 500,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
		});
	}
}

/** The value of a field, with its tables separated by dots. */
function find(fields, key) {
	let value = fields;
	for (const name of key.split('.')) {
		value = value[name];
	}

	return value;
}

/** A port of an address on which nothing listens, below the range of outgoing connections. */
async function freePort(ip) {
	for (;;) {
		const port = 15_000 + Math.floor(Math.random() * 15_000);
		const server = net.createServer();
		const isFree = await new Promise(resolve => {
			server.once('error', () => {
				resolve(false);
			});
			server.listen(port, ip, () => {
				resolve(true);
			});
		});
		server.close();
		if (isFree) {
			return port;
		}
	}
}

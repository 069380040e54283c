/**
Busy processes that take processor time from the entry hosts, on cores that both share, so that the rest of the machine is
left alone.
*/
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import process from 'node:process';

/** Numbers of cores for the hosts and of busy processes on them. */
export type Demand = {readonly cores: number; readonly processes: number};

/** Time after which a busy process ends by itself, should the soak test end without ending it. */
const maxBusyMs = 120_000;

/** The cores of the hosts, and the busy processes on them while it is started. */
export class Load {
	readonly #demand: Demand;
	/** The command that runs a program on the cores; empty where there is none, and then the processes take any core. */
	readonly #pin: readonly string[];
	readonly #children: childProcess.ChildProcess[] = [];

	constructor(demand: Demand) {
		this.#demand = demand;
		const pin = ['taskset', '-c', findCores(demand.cores).join(',')];
		this.#pin = childProcess.spawnSync(pin[0], [...pin.slice(1), 'true']).status === 0 ? pin : [];
	}

	/** Starts a program on the cores. */
	spawn(program: string, parameters: readonly string[], options: childProcess.SpawnOptions = {}): childProcess.ChildProcess {
		const [command, ...rest] = [...this.#pin, program, ...parameters];
		return childProcess.spawn(command, rest, options);
	}

	/** Starts the busy processes; without pinned cores, enough for the whole machine. */
	start(): void {
		const {cores, processes} = this.#demand;
		const count = this.#pin.length > 0 ? processes : processes - cores + os.availableParallelism();
		for (let index = 0; index < count; index++) {
			this.#children.push(this.spawn(process.execPath, ['-e', `const end = Date.now() + ${maxBusyMs}; while (Date.now() < end);`], {stdio: 'ignore'}));
		}
	}

	/** Ends the busy processes. */
	stop(): void {
		for (const child of this.#children.splice(0)) {
			child.kill('SIGKILL');
		}
	}
}

/** The first cores that this process may use. */
function findCores(count: number): number[] {
	let status = '';
	try {
		status = fs.readFileSync('/proc/self/status', 'utf8');
	} catch {
		// Only Linux lists the allowed cores.
	}

	const ranges = /^Cpus_allowed_list:\s*(?<list>[\d,\-]+)$/mv.exec(status)?.groups?.list ?? `0-${os.cpus().length - 1}`;
	return ranges.split(',').flatMap(range => {
		const [first, last = first] = range.split('-').map(Number);
		return Array.from({length: last - first + 1}, (_, index) => first + index);
	}).slice(0, count);
}

/** Clients that send one write after the other to the primary route, each as soon as the last one is answered. */
import {Client} from './client.js';
import {sleep} from './group.js';

const reopenMs = 200;

export class Crowd {
	/** Number of answers by their first words. */
	answers = {};
	sent = 0;
	isStopped = false;
	#tasks = [];

	start(host, count) {
		for (let number = 1; number <= count; number++) {
			this.#tasks.push(this.#write(host, `c${number}`));
		}
	}

	async stop() {
		this.isStopped = true;
		await Promise.all(this.#tasks);
	}

	async #write(host, name) {
		while (!this.isStopped) {
			const client = new Client();
			const opened = await client.open(host.front, 'ledger');
			while (opened.startsWith('READY') && !client.isClosed && !this.isStopped) {
				this.sent++;
				const {outcome} = await client.query(`${name}-${this.sent}`, 'WRITE a1 d1');
				const [word, code] = outcome.split(' ');
				const answer = word === 'ERROR' ? `ERROR ${code}` : word;
				this.answers[answer] = (this.answers[answer] ?? 0) + 1;
			}

			client.close();
			await sleep(this.isStopped ? 0 : reopenMs);
		}
	}
}

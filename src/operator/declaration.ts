/**
What operators declare: services with their servers and classes, and accounts. A declaration is plain data; the
classes only collect it.
*/
import type * as types from '../generated/types.js';
import * as server from '../mysql/server.js';

/** A backend server. `leaving` defaults to false. */
export type Server = Pick<types.Server, 'address' | 'place'> & Partial<types.Server>;

/** A class of requests. Everything but `kind` has a default. */
export type Class = Pick<types.Class, 'kind'> & Partial<types.Class>;

/** What holds for a whole service. Everything has a default. */
export type Service = Partial<Omit<types.Service, 'server' | 'class'>>;

/** A caller's account, with its password or the hash of it. */
export type Account = Omit<types.Account, 'passwordHash'> & ({readonly password: string} | {readonly passwordHash: string});

/** A service with its servers and classes. */
export type ServiceData = Service & {server: Record<string, Server>; class: Record<string, Class>};

/** All declarations of a site, as plain data. */
export type Data = {service: Record<string, ServiceData>; account: Record<string, types.Account>};

/**
The hash of a password, as accounts keep it: SHA-1 of SHA-1, in hex, which the MySQL protocol needs.

@example
```
declaration.hashPassword('secret'); //=> '14e65567abdb5135d0cfd9a70b3032c179a49ee7'
```
*/
export function hashPassword(password: string): string {
	return server.hashPassword(password);
}

/** A service that is being declared. A later declaration of the same name replaces an earlier one. */
export class Group {
	readonly #data: ServiceData;

	constructor(data: ServiceData) {
		this.#data = data;
	}

	/**
	Declares a backend server.

	@example
	```
	site.service('ledgers').server('a', {address: '10.0.0.1:3306', place: 'puget-a'});
	```
	*/
	server(name: string, content: Server): this {
		this.#data.server[name] = {...content};
		return this;
	}

	/**
	Declares a class of requests.

	@example
	```
	site.service('ledgers').class('balance', {kind: 'read', maximumAgeMs: 2000});
	```
	*/
	class(name: string, content: Class): this {
		this.#data.class[name] = {...content};
		return this;
	}
}

/** The declarations of a site. */
export class Site {
	readonly #data: Data = {service: emptyRecord(), account: emptyRecord()};

	/** A copy of what is declared. */
	get data(): Data {
		return structuredClone(this.#data);
	}

	/**
	Declares a service, or goes on with one that is declared; `content` adds to what it holds.

	@example
	```
	const ledgers = site.service('ledgers', {connections: 16, slots: 2, password: 'secret'});
	ledgers.server('a', {address: '10.0.0.1:3306', place: 'puget-a'});
	```
	*/
	service(name: string, content: Service = {}): Group {
		const data: ServiceData = this.#data.service[name] ?? {server: emptyRecord(), class: emptyRecord()};
		this.#data.service[name] = Object.assign(data, content);
		return new Group(data);
	}

	/**
	Declares an account. Only the hash of a password is kept.

	@example
	```
	site.account('secretary', {service: 'ledgers', tenant: 'cascade', password: 'secret'});
	```
	*/
	account(name: string, content: Account): this {
		const {service, tenant} = content;
		const passwordHash = 'password' in content ? hashPassword(content.password) : content.passwordHash;
		this.#data.account[name] = {service, tenant, passwordHash};
		return this;
	}
}

/** Without a prototype, so that a name such as `__proto__` stays a name until the check refuses it. */
function emptyRecord<T>(): Record<string, T> {
	return Object.create(null) as Record<string, T>;
}

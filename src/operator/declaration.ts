/**
Declares the services of a site with their servers and request classes, and its accounts. Declarations are plain data,
which `Site` and `Group` collect.
*/
import type * as types from '../generated/types.js';
import * as server from '../mysql/server.js';

/** A backend server. `leaving` defaults to false. */
export type Server = Pick<types.Server, 'address' | 'place'> & Partial<types.Server>;

/** A request class. All fields except `kind` have defaults. */
export type Class = Pick<types.Class, 'kind'> & Partial<types.Class>;

/** Options of a service. All fields have defaults. */
export type Service = Partial<Omit<types.Service, 'server' | 'class'>>;

/** A caller's account, with its password or password hash. */
export type Account = Omit<types.Account, 'passwordHash'> & ({readonly password: string} | {readonly passwordHash: string});

/** A service with its servers and classes. */
export type ServiceData = Service & {server: Record<string, Server>; class: Record<string, Class>};

/** All declarations of a site, as plain data. */
export type Data = {service: Record<string, ServiceData>; account: Record<string, types.Account>};

/**
Hashes a password for an account: SHA-1 of its SHA-1, in hex, as the MySQL protocol requires.

@example
```
declaration.hashPassword('secret'); //=> '14e65567abdb5135d0cfd9a70b3032c179a49ee7'
```
*/
export function hashPassword(password: string): string {
	return server.hashPassword(password);
}

/** Builder for a service. Declaring a server or class again replaces the earlier declaration. */
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
	Declares a request class.

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

	/** A copy of all declarations. */
	get data(): Data {
		return structuredClone(this.#data);
	}

	/**
	Declares a service or extends a declared one. Fields of `content` override earlier values.

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
	Declares an account. Only the hash of its password is stored.

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

/** Creates a record without a prototype, so that `__proto__` is an ordinary key, which validation then rejects. */
function emptyRecord<T>(): Record<string, T> {
	return Object.create(null) as Record<string, T>;
}

/** The platform's append-only log: its interface, an HTTP client and an in-memory implementation. */
package org.chivetally.log;

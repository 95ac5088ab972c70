/** The platform's append-only log: the interface chivetally needs and its clients. */
package org.chivetally.log;

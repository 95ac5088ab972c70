/** Decisions about members that all entries make identically without communication. */
package org.chivetally.membership;

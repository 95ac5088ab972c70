/** The HTTP interface for callers and operators. */
package org.chivetally.entry.http;

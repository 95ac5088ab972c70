/** HTTP interface of an entry for clients that submit jobs and for operators. */
package org.chivetally.entry.http;

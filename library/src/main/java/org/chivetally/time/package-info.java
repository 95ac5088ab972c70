/** The clock that decisions and shells read, which tests pause and advance. */
package org.chivetally.time;

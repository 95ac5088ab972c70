/** Jobs, their tasks and their outcomes as values. */
package org.chivetally.job;

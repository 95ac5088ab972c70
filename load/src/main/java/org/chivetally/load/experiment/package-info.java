/** Experiments within one process that compare decisions and measure how costs grow. */
package org.chivetally.load.experiment;

/** In-process experiments that compare placement policies and measure how costs scale. */
package org.chivetally.load.experiment;

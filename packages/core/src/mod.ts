/** Version of the product that the programs print. */
export const productVersion = "0.1.0";

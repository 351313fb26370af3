/** Version of the product, as the programs print it. */
export const productVersion = "0.1.0";
